package verb

import (
	"cmp"
	"context"
	"io"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/kernel"
	"monsoonfork/core/settings"
	"monsoonfork/io/logwriter"
)

// serve is the verb serve, which runs the daemon of an instance.
type serve struct {
	Settings string       `required:"" env:"MONSOONFORK_BOOT" help:"Settings file of this instance (YAML)." type:"path"`
	ConfigMS milliseconds `name:"config-ms" help:"Takes the place of the setting Bounds.ConfigMS, if it is not empty."`
	DrainMS  milliseconds `name:"drain-ms" help:"Takes the place of the setting Bounds.DrainMS, if it is not empty."`
}

// milliseconds is a number of milliseconds on the command line. A platform that has none gives an
// empty text, which is 0.
type milliseconds int64

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *milliseconds) UnmarshalText(text []byte) error {
	if len(text) == 0 {
		return nil
	}
	n, err := strconv.ParseFloat(string(text), 64)
	if valid := err == nil && n >= 0 && n <= maxMilliseconds; !valid {
		return fault.New(fault.BadSettings, "%.40q is not a number from 0 to %d", text, maxMilliseconds)
	}
	*m = milliseconds(n)
	return nil
}

// maxMilliseconds is the largest value of milliseconds.
const maxMilliseconds = 1_000_000

// load reads the settings, with those of the command line.
func (s *serve) load() (*settings.Settings, error) {
	cfg, err := settings.Load(s.Settings)
	if err != nil {
		return nil, err
	}
	cfg.Bounds.ConfigMS = cmp.Or(int64(s.ConfigMS), cfg.Bounds.ConfigMS)
	cfg.Bounds.DrainMS = cmp.Or(int64(s.DrainMS), cfg.Bounds.DrainMS)
	return cfg, nil
}

// Help is the usage text of the verb.
func (s *serve) Help() string {
	return `Runs the daemon until SIGTERM or SIGINT. The signal begins a planned stop: the
instance reports that it is not ready, waits for the load balancer, finishes all
requests, hands over its roles and exits. Further signals are ignored. On SIGHUP,
or when the settings file changes, the daemon reloads the settings that may change
while it runs.

Example:
  monsoonfork serve --settings instance.yaml`
}

// Run implements the verb.
func (s *serve) Run(std streams) error {
	cfg, err := s.load()
	if err != nil {
		return err
	}
	setMemoryLimit(cfg)
	out := logwriter.New(std.out)
	defer func() { _ = out.Close() }()
	logger := newLogger(out, cfg.LogLevel)
	// Before callers are served: a signal that arrives before the call has its default
	// effect, which ends the process.
	stops, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reloads, syscall.SIGHUP)
	n := kernel.NewNode(cfg, logger)
	if err := n.Start(context.Background()); err != nil {
		return err
	}
	_ = level.Info(n.Log).Log("msg", event.Serving, "callers", string(cfg.CallerAddress), "operators", string(cfg.OperatorAddress))
	s.waitForStop(n, stops, reloads)
	// Later signals are ignored, since a planned stop cuts no request. Its duration is
	// bounded by the deadlines of the requests and, on the platform, by the setting StopS.
	ctx, cancel := stopContext(cfg)
	defer cancel()
	err = n.Drain(ctx)
	n.Close()
	_ = level.Info(n.Log).Log("msg", event.Stopped)
	return err
}

const (
	// settingsPollInterval is the time between two checks whether the settings file has
	// changed.
	settingsPollInterval = 2 * time.Second
	// exitMargin is the part of the setting StopS that is reserved for exiting after the drain.
	exitMargin = 350 * time.Millisecond
)

// waitForStop returns on a signal to stop. Until then it reloads changed settings.
func (s *serve) waitForStop(n *kernel.Node, stops, reloads <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	seen := versionOfFile(s.Settings)
	for {
		select {
		case sig := <-stops:
			_ = level.Info(n.Log).Log("msg", event.StopRequested, "signal", sig)
			return
		case <-reloads:
			seen = versionOfFile(s.Settings)
			s.reload(n, "signal")
		case <-ticker.C:
			if stamp := versionOfFile(s.Settings); stamp != seen {
				seen = stamp
				s.reload(n, "file changed")
			}
		}
	}
}

// fileVersion identifies a version of a file by its modification time and size.
type fileVersion struct {
	modified time.Time
	bytes    int64
}

// versionOfFile returns the version of a file, or the zero value if it can't be read.
func versionOfFile(path string) fileVersion {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}

// reload applies the settings that may change while the daemon runs. If the file is
// invalid, the settings in use are kept.
func (s *serve) reload(n *kernel.Node, why string) {
	cfg, err := s.load()
	if err != nil {
		_ = level.Error(n.Log).Log("msg", event.SettingsRejected, "why", why, "err", err)
		return
	}
	n.Reload(cfg)
	_ = level.Info(n.Log).Log("msg", event.SettingsReloaded, "why", why, "first_peers", len(cfg.FirstPeers))
}

// stopContext returns the context of a planned stop, with a deadline if StopS is set.
func stopContext(cfg *settings.Settings) (context.Context, context.CancelFunc) {
	if cfg.Bounds.StopS <= 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), time.Duration(cfg.Bounds.StopS*float64(time.Second))-exitMargin)
}

// newLogger returns the logfmt logger of the daemon, with the level name.
func newLogger(out io.Writer, name string) log.Logger {
	logger := log.NewLogfmtLogger(out)
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(name, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC)
}
