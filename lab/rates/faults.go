package rates

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/io/operator"
	"monsoonfork/io/standin/control"
	"monsoonfork/lab/fleet"
)

// Timing of the faults.
const (
	storeDownAfter  = 5 * time.Second // After the start of the load, as are firstPauseAfter and cutAfter.
	firstPauseAfter = 6 * time.Second
	cutAfter        = 8 * time.Second
	betweenPauses   = 8 * time.Second
	replaceAfter    = 500 * time.Millisecond
)

// span is a time interval in nanoseconds of the monotonic clock.
type span struct{ from, to int64 }

// faults injects the faults of a run.
type faults struct {
	cfg      Config
	fleet    *fleet.Fleet
	logEvent func(format string, args ...any)

	mu      sync.Mutex
	random  *rand.Rand
	busy    map[*fleet.Instance]bool // Instances that have a fault.
	cutSpan span
	kills   int
	pauses  int
	err     error
}

// newFaults returns a fault injector; run starts it.
func newFaults(cfg Config, f *fleet.Fleet, logEvent func(string, ...any)) *faults {
	return &faults{
		cfg:      cfg,
		fleet:    f,
		logEvent: logEvent,
		random:   rand.New(rand.NewPCG(cfg.Seed, 22)),
		busy:     make(map[*fleet.Instance]bool),
	}
}

// run injects faults until ctx ends, and reverts those still active.
func (f *faults) run(ctx context.Context) error {
	var work sync.WaitGroup
	for _, inject := range f.enabled() {
		work.Go(func() { f.recordError(inject(ctx)) })
	}
	work.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// enabled returns the functions of the faults that the configuration enables.
func (f *faults) enabled() []func(context.Context) error {
	var list []func(context.Context) error
	if f.cfg.KillEvery > 0 {
		list = append(list, f.kill)
	}
	if f.cfg.PauseFor > 0 {
		list = append(list, f.pause)
	}
	if f.cfg.CutFor > 0 {
		list = append(list, f.cutDomain)
	}
	if f.cfg.StoreDown {
		list = append(list, f.hangStore)
	}
	return list
}

// recordError keeps the first error.
func (f *faults) recordError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
	}
}

// acquireRandom picks a random instance that is not busy and marks it as busy.
func (f *faults) acquireRandom() (*fleet.Instance, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var free []*fleet.Instance
	for _, i := range f.fleet.Instances {
		if !f.busy[i] {
			free = append(free, i)
		}
	}
	if len(free) == 0 {
		return nil, false
	}
	i := free[f.random.IntN(len(free))]
	f.busy[i] = true
	return i, true
}

// release removes the busy mark of an instance.
func (f *faults) release(i *fleet.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, i)
}

// kill kills and replaces a random instance every KillEvery.
func (f *faults) kill(ctx context.Context) error {
	for sleepContext(ctx, f.cfg.KillEvery) {
		i, ok := f.acquireRandom()
		if !ok {
			continue
		}
		f.logEvent("kill %s", i.Name)
		if err := i.Process.Kill(); err != nil {
			return err
		}
		time.Sleep(replaceAfter)
		if err := f.fleet.StartInstance(context.WithoutCancel(ctx), i); err != nil {
			return err
		}
		f.kills++
		f.release(i)
	}
	return nil
}

// pause pauses a random instance for PauseFor, again and again. PauseFor should
// exceed the lease times, so that the leases of the instance expire.
func (f *faults) pause(ctx context.Context) error {
	if !sleepContext(ctx, firstPauseAfter) {
		return nil
	}
	for {
		if i, ok := f.acquireRandom(); ok {
			f.logEvent("pause %s", i.Name)
			if err := i.Process.Pause(); err != nil {
				return err
			}
			sleepContext(ctx, f.cfg.PauseFor)
			f.logEvent("resume %s", i.Name)
			if err := i.Process.Resume(); err != nil {
				return err
			}
			f.pauses++
			f.release(i)
		}
		if !sleepContext(ctx, betweenPauses) {
			return nil
		}
	}
}

// hangStore makes the store accept calls without responding until the run ends.
func (f *faults) hangStore(ctx context.Context) error {
	if !sleepContext(ctx, storeDownAfter) {
		return nil
	}
	f.logEvent("store hangs")
	if err := f.fleet.Store.Control.Inject(ctx, control.Fault{Kind: control.Hang}); err != nil {
		return err
	}
	<-ctx.Done()
	f.logEvent("store responds again")
	return f.fleet.Store.Control.Clear(context.WithoutCancel(ctx))
}

// cutDomain partitions the first domain from all others and from the store for
// CutFor.
func (f *faults) cutDomain(ctx context.Context) error {
	if !sleepContext(ctx, cutAfter) {
		return nil
	}
	domain := f.cutDomainID()
	f.logEvent("domain %s cut off", domain)
	if err := f.setCut(domain, true); err != nil {
		return err
	}
	f.cutSpan.from = monotonicNow()
	sleepContext(ctx, f.cfg.CutFor)
	f.cutSpan.to = monotonicNow()
	f.logEvent("domain %s reconnected", domain)
	return f.setCut(domain, false)
}

// cutDomainID returns the domain that cutDomain partitions.
func (f *faults) cutDomainID() ident.DomainID { return f.fleet.Spec.Workload.Domains[0] }

// setCut partitions a domain or reconnects it. While it is partitioned, its
// instances are marked as busy, so that no other fault hits them: a replacement
// instance would not be partitioned.
func (f *faults) setCut(domain ident.DomainID, on bool) error {
	var others []ident.DomainID
	for _, d := range f.fleet.Spec.Workload.Domains {
		if on && d != domain {
			others = append(others, d)
		}
	}
	for _, i := range f.fleet.Instances {
		if i.Settings.Domain != domain {
			continue
		}
		if on {
			f.acquire(i)
			i.StoreRelay.Cut()
		} else {
			i.StoreRelay.Heal()
			defer f.release(i)
		}
		if err := applyCut(i, others); err != nil {
			return err
		}
	}
	return nil
}

// acquire waits until no fault is active on an instance, and marks it as busy.
func (f *faults) acquire(i *fleet.Instance) {
	for {
		f.mu.Lock()
		free := !f.busy[i]
		f.busy[i] = true
		f.mu.Unlock()
		if free {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// applyCut commands an instance to cut its links to exactly the given domains.
func applyCut(i *fleet.Instance, domains []ident.DomainID) error {
	raw, err := json.Marshal(operator.LinkFaults{CutDomains: domains})
	if err != nil {
		return err
	}
	if err := i.WaitAlive(context.Background()); err != nil {
		return err
	}
	client := &http.Client{Timeout: requestTimeout}
	response, err := client.Post("http://"+string(i.Settings.OperatorAddress)+"/faults", "application/json", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	answer, _ := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s rejected the fault command: %s", i.Name, answer)
	}
	return nil
}

// sleepContext waits for d; it returns false if ctx ends first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
