package verb

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/kernel"
	"monsoonfork/core/settings"
)

// serve runs the daemon.
type serve struct {
	Settings string `required:"" env:"MONSOONFORK_BOOT" help:"Settings file of this instance (YAML)." type:"path"`
}

// Help is the usage text of the verb.
func (s *serve) Help() string {
	return `Runs the daemon until SIGTERM or SIGINT. The signal begins a planned stop: the
instance reports not ready, waits for the balancer, finishes every request,
hands over its roles and exits. A second signal changes nothing.

Example:
  monsoonfork serve --settings instance.yaml`
}

// Run implements the verb.
func (s *serve) Run(std streams) error {
	cfg, err := settings.Load(s.Settings)
	if err != nil {
		return err
	}
	logger := newLogger(std, cfg.LogLevel)
	n := kernel.NewNode(cfg, logger)
	if err := n.Start(context.Background()); err != nil {
		return err
	}
	_ = level.Info(n.Log).Log("msg", "serving", "callers", string(cfg.CallerAddress), "operators", string(cfg.OperatorAddress))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	// Later signals stay in the channel and are not acted on: a planned stop
	// cuts no request. Its end is bounded by the deadlines of the requests.
	err = n.Drain(context.Background())
	n.Close()
	_ = level.Info(n.Log).Log("msg", "stopped")
	return err
}

// newLogger returns the structured log of the daemon.
func newLogger(std streams, name string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(std.err))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(name, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}
