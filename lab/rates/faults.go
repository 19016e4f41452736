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

// Times of the faults.
const (
	storeDownAfter  = 5 * time.Second // Since load began.
	firstPauseAfter = 6 * time.Second
	cutAfter        = 8 * time.Second
	betweenPauses   = 8 * time.Second
	replaceAfter    = 500 * time.Millisecond
)

// span is a stretch of time in monotonic nanoseconds.
type span struct{ from, to int64 }

// faults causes the faults of a run.
type faults struct {
	cfg   Config
	fleet *fleet.Fleet
	note  func(format string, args ...any)

	mu     sync.Mutex
	random *rand.Rand
	busy   map[*fleet.Instance]bool
	cut    span
	kills  int
	pauses int
	err    error
}

// newFaults returns faults that have not begun.
func newFaults(cfg Config, f *fleet.Fleet, note func(string, ...any)) *faults {
	return &faults{
		cfg:    cfg,
		fleet:  f,
		note:   note,
		random: rand.New(rand.NewPCG(cfg.Seed, 22)),
		busy:   make(map[*fleet.Instance]bool),
	}
}

// run causes faults until ctx ends, and ends those that last.
func (f *faults) run(ctx context.Context) error {
	var work sync.WaitGroup
	for _, cause := range f.enabled() {
		work.Go(func() { f.fail(cause(ctx)) })
	}
	work.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// enabled returns the faults that the configuration asks for.
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
		list = append(list, f.silenceStore)
	}
	return list
}

// fail notes the first error.
func (f *faults) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err == nil {
		f.err = err
	}
}

// draw returns an instance that no fault is on, and marks it.
func (f *faults) draw() (*fleet.Instance, bool) {
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

// release ends the mark of draw.
func (f *faults) release(i *fleet.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, i)
}

// kill kills and replaces one instance after the other.
func (f *faults) kill(ctx context.Context) error {
	for wait(ctx, f.cfg.KillEvery) {
		i, ok := f.draw()
		if !ok {
			continue
		}
		f.note("kill %s", i.Name)
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

// pause pauses one instance after the other for longer than a lease.
func (f *faults) pause(ctx context.Context) error {
	if !wait(ctx, firstPauseAfter) {
		return nil
	}
	for {
		if i, ok := f.draw(); ok {
			f.note("pause %s", i.Name)
			if err := i.Process.Pause(); err != nil {
				return err
			}
			wait(ctx, f.cfg.PauseFor)
			f.note("resume %s", i.Name)
			if err := i.Process.Resume(); err != nil {
				return err
			}
			f.pauses++
			f.release(i)
		}
		if !wait(ctx, betweenPauses) {
			return nil
		}
	}
}

// silenceStore makes the store silent until the run ends.
func (f *faults) silenceStore(ctx context.Context) error {
	if !wait(ctx, storeDownAfter) {
		return nil
	}
	f.note("store silent")
	if err := f.fleet.Store.Control.Inject(ctx, control.Fault{Kind: control.Hang}); err != nil {
		return err
	}
	<-ctx.Done()
	f.note("store answers")
	return f.fleet.Store.Control.Clear(context.WithoutCancel(ctx))
}

// cutDomain cuts the first domain off from all others and from the store.
func (f *faults) cutDomain(ctx context.Context) error {
	if !wait(ctx, cutAfter) {
		return nil
	}
	domain := f.cutOff()
	f.note("domain %s cut off", domain)
	if err := f.setCut(domain, true); err != nil {
		return err
	}
	f.cut.from = monotonicNow()
	wait(ctx, f.cfg.CutFor)
	f.cut.to = monotonicNow()
	f.note("domain %s joined again", domain)
	return f.setCut(domain, false)
}

// cutOff returns the domain that is cut off.
func (f *faults) cutOff() ident.DomainID { return f.fleet.Spec.Workload.Domains[0] }

// setCut cuts a domain off, or joins it again. Meanwhile no other fault hits
// its instances: a replaced one would not be cut off.
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
			f.occupy(i)
			i.Store.Cut()
		} else {
			i.Store.Heal()
			defer f.release(i)
		}
		if err := commandCut(i, others); err != nil {
			return err
		}
	}
	return nil
}

// occupy waits until no fault is on an instance, and marks it.
func (f *faults) occupy(i *fleet.Instance) {
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

// commandCut tells an instance to cut its links to some domains, and no others.
func commandCut(i *fleet.Instance, domains []ident.DomainID) error {
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
		return fmt.Errorf("%s does not cut: %s", i.Name, answer)
	}
	return nil
}

// wait waits for d and reports whether ctx goes on.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
