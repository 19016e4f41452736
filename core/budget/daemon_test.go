package budget

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sys/unix"

	"monsoonfork/core/config"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/kernel"
	"monsoonfork/core/settings"
	"monsoonfork/core/text"
	_ "monsoonfork/io/instancelist" // Role InstanceList.
	"monsoonfork/io/peer"
	_ "monsoonfork/io/store" // Registers the role Store.
)

// Environment variables that make the test binary run as a daemon.
const (
	daemonSettingsEnv = "MONSOONFORK_TEST_SETTINGS"  // Path of the settings file.
	daemonReportEnv   = "MONSOONFORK_TEST_REPORT"    // Path of the file to which request results are written.
	daemonLoadFromEnv = "MONSOONFORK_TEST_LOAD_FROM" // When the load begins, in monotonic nanoseconds.
)

// Cost of a request, and load of all daemons together as a multiple of the rate.
// Requests use all tokens that they are charged.
const (
	requestCost      = 100
	loudRateMultiple = 5.0
	evenRateMultiple = 0.7
)

// daemonConfig returns the configuration of the daemons. In the usual run, the
// burst of the organisation "loud" is so small that its tokens have reached
// it before the load begins, where the check of the limit is strictest.
func daemonConfig() *text.Text {
	burst := ident.Tokens(8_000)
	if os.Getenv(longRunEnv) != "" {
		burst = 20_000
	}
	return &text.Text{
		Domains: []ident.DomainID{"d0", "d1", "d2", "d3"},
		Organisations: []text.Organisation{
			{Name: "loud", Rate: 4000, Burst: burst},
			{Name: "even", Rate: 4000, Burst: 40_000},
		},
		Policy: text.Policy{BudgetSlotsPerDomain: 2},
	}
}

// reportedRequest is one request in the report of a daemon.
type reportedRequest struct {
	Organisation ident.OrganisationID
	Cost         ident.Tokens
	MonotonicNs  int64 // When it was sent.
	Outcome      string
}

// Values of reportedRequest.Outcome.
const (
	outcomeAdmitted = "admitted"
	outcomeRefused  = "refused"
	outcomeFailed   = "failed"
)

// TestMain runs the test binary as a daemon if daemonSettingsEnv is set.
func TestMain(m *testing.M) {
	if path := os.Getenv(daemonSettingsEnv); path != "" {
		if err := runDaemon(path, os.Getenv(daemonReportEnv)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runDaemon runs a daemon that sends requests to itself until SIGTERM. SIGUSR1
// cuts its links to all other domains, SIGUSR2 restores them.
func runDaemon(path, report string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	n := kernel.NewNode(s, log.NewNopLogger())
	if err := n.Start(context.Background()); err != nil {
		return err
	}
	var (
		holder *config.Holder
		links  *peer.Links
		b      *Budget
	)
	if err := n.Require(&holder, &links, &b); err != nil {
		return err
	}
	holder.Update(&config.Snapshot{Revision: 1, Text: daemonConfig()})
	out, err := os.OpenFile(report, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	loadFrom, err := strconv.ParseInt(os.Getenv(daemonLoadFromEnv), 10, 64)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for org, factor := range map[ident.OrganisationID]float64{"loud": loudRateMultiple, "even": evenRateMultiple} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			runDaemonLoad(ctx, b, org, factor, loadFrom, out)
		}()
	}
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGUSR2)
	for sig := range signals {
		switch sig {
		case syscall.SIGUSR1:
			links.Partition().Cut(otherDomains(s.Domain)...)
		case syscall.SIGUSR2:
			links.Partition().Cut()
		default:
			cancel()
			wg.Wait()
			err := b.Drain(context.Background())
			n.Close()
			return err
		}
	}
	return nil
}

// otherDomains returns all domains but one.
func otherDomains(domain ident.DomainID) []ident.DomainID {
	var others []ident.DomainID
	for _, d := range daemonConfig().Domains {
		if d != domain {
			others = append(others, d)
		}
	}
	return others
}

// runDaemonLoad sends this process's share of an organisation's load.
func runDaemonLoad(ctx context.Context, b *Budget, org ident.OrganisationID, factor float64, loadFrom int64, out *os.File) {
	time.Sleep(time.Duration(loadFrom - monotonicNow()))
	limit, _ := b.limits(org)
	perSecond := factor * float64(limit.Rate) / requestCost / processCount
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			line := reportedRequest{Organisation: org, Cost: requestCost, MonotonicNs: monotonicNow(), Outcome: outcomeAdmitted}
			reqCtx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if _, err := b.Admit(reqCtx, org, requestCost); fault.Is(err, fault.RateExceeded) {
				line.Outcome = outcomeRefused
			} else if err != nil {
				line.Outcome = outcomeFailed
			}
			if raw, err := json.Marshal(line); err == nil {
				_, _ = out.Write(append(raw, '\n'))
			}
		}()
	}
	wg.Wait()
}

// monotonicNow reads the machine's monotonic clock.
func monotonicNow() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &ts); err != nil {
		return 0
	}
	return ts.Nano()
}
