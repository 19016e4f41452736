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
	"monsoonfork/io/peer"
	_ "monsoonfork/io/store" // Registers the role Store.
)

// Environment variables by which the test binary runs as a daemon.
const (
	childSettingsEnv = "MONSOONFORK_TEST_SETTINGS"
	childReportEnv   = "MONSOONFORK_TEST_REPORT"
	childLoadFromEnv = "MONSOONFORK_TEST_LOAD_FROM" // Monotonic nanoseconds.
)

// The load of the processes together, as multiples of the rate, and the cost of
// a request. Requests use all that they are charged.
const (
	processCost = 100
	loudFactor  = 5.0
	evenFactor  = 0.7
)

// processText is the configuration of the processes. The loud organisation's
// burst is so small in the usual run that it is full before load begins: the
// check is tightest then.
func processText() *text.Text {
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

// requestLine is one request in the report of a process.
type requestLine struct {
	Organisation ident.OrganisationID
	Cost         ident.Tokens
	MonotonicNs  int64 // When it was sent.
	Outcome      string
}

// The outcomes in a report.
const (
	outcomeAdmitted = "admitted"
	outcomeRefused  = "refused"
	outcomeFailed   = "failed"
)

// TestMain runs the test binary as a daemon when the parent asks for it.
func TestMain(m *testing.M) {
	if path := os.Getenv(childSettingsEnv); path != "" {
		if err := runChild(path, os.Getenv(childReportEnv)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runChild runs a daemon with load on itself until SIGTERM. SIGUSR1 cuts its
// links to all other domains, SIGUSR2 heals them.
func runChild(path, report string) error {
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
	if err := n.Need(&holder, &links, &b); err != nil {
		return err
	}
	holder.Offer(&config.Snapshot{Revision: 1, Text: processText()})
	out, err := os.OpenFile(report, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	loadFrom, err := strconv.ParseInt(os.Getenv(childLoadFromEnv), 10, 64)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	for org, factor := range map[ident.OrganisationID]float64{"loud": loudFactor, "even": evenFactor} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			childLoad(ctx, b, org, factor, loadFrom, out)
		}()
	}
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGUSR2)
	for sig := range signals {
		switch sig {
		case syscall.SIGUSR1:
			links.Gate().Cut(othersOf(s.Domain)...)
		case syscall.SIGUSR2:
			links.Gate().Cut()
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

// othersOf returns all domains but one.
func othersOf(domain ident.DomainID) []ident.DomainID {
	var others []ident.DomainID
	for _, d := range processText().Domains {
		if d != domain {
			others = append(others, d)
		}
	}
	return others
}

// childLoad sends this process's part of an organisation's load.
func childLoad(ctx context.Context, b *Budget, org ident.OrganisationID, factor float64, from int64, out *os.File) {
	time.Sleep(time.Duration(from - monotonicNow()))
	limit, _ := b.limits(org)
	perSecond := factor * float64(limit.Rate) / processCost / processCount
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			line := requestLine{Organisation: org, Cost: processCost, MonotonicNs: monotonicNow(), Outcome: outcomeAdmitted}
			asking, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if _, err := b.Admit(asking, org, processCost); fault.Is(err, fault.RateExceeded) {
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
