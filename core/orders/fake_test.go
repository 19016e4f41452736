package orders

import (
	"context"
	"strconv"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/config"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
)

// clock is a clock that tests move.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{time.Unix(1_800_000_000, 0)} }

func (c *clock) time() time.Time { return c.now }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

// fakeStore keeps the keys of one domain. Tests use it from one goroutine.
type fakeStore struct {
	clock    *clock
	expires  map[keyvalue.LeaseID]time.Time
	holder   keyvalue.LeaseID
	number   storedNumber
	revision ident.Revision
	down     bool // No call has an effect.
	lost     bool // Calls take effect, but their answers are lost.
	sequence int
}

func newFakeStore(c *clock) *fakeStore {
	return &fakeStore{clock: c, expires: map[keyvalue.LeaseID]time.Time{}}
}

// outcome returns what a write that took effect looks like to its caller.
func (f *fakeStore) outcome(done bool) keyvalue.Outcome {
	switch {
	case f.lost:
		return keyvalue.Unknown
	case done:
		return keyvalue.Written
	}
	return keyvalue.Conflict
}

// failure returns the error of a call now, or nil.
func (f *fakeStore) failure() error {
	if f.down || f.lost {
		return fault.New(fault.StoreUnavailable, "no answer")
	}
	return nil
}

// lapse ends leases that were not renewed.
func (f *fakeStore) lapse() {
	for id, at := range f.expires {
		if f.clock.now.After(at) {
			f.end(id)
		}
	}
}

func (f *fakeStore) end(id keyvalue.LeaseID) {
	delete(f.expires, id)
	if f.holder == id {
		f.holder = ""
	}
}

// registry returns the calls on the store.
func (f *fakeStore) registry(ttl time.Duration) registry {
	call := func(effect func()) error {
		f.lapse()
		if !f.down {
			effect()
		}
		return f.failure()
	}
	return registry{
		create: func(context.Context, time.Duration) (keyvalue.Lease, error) {
			f.sequence++
			l := keyvalue.Lease{ID: keyvalue.LeaseID(strconv.Itoa(f.sequence)), Deadline: f.clock.now.Add(ttl)}
			err := call(func() { f.expires[l.ID] = l.Deadline })
			return l, err
		},
		renew: func(_ context.Context, l keyvalue.Lease) (keyvalue.Lease, error) {
			known := false
			err := call(func() {
				if _, known = f.expires[l.ID]; known {
					f.expires[l.ID] = f.clock.now.Add(ttl)
				}
			})
			if err == nil && !known {
				return l, fault.New(fault.NotHolder, "lapsed")
			}
			if err == nil {
				l.Deadline = f.clock.now.Add(ttl)
			}
			return l, err
		},
		destroy: func(_ context.Context, id keyvalue.LeaseID) error { return call(func() { f.end(id) }) },
		held:    func(context.Context) (bool, error) { err := call(func() {}); return f.holder != "", err },
		acquire: func(_ context.Context, id keyvalue.LeaseID) keyvalue.Outcome {
			done := false
			if call(func() {
				if _, known := f.expires[id]; known && f.holder == "" {
					f.holder, done = id, true
				}
			}) != nil && f.down {
				return keyvalue.NotWritten
			}
			return f.outcome(done)
		},
		number: func(context.Context) (storedNumber, error) { err := call(func() {}); return f.number, err },
		swap: func(_ context.Context, next storedNumber) keyvalue.Outcome {
			done := false
			if call(func() {
				if next.version == f.number.version {
					f.number, done = storedNumber{next.record, next.version + 1}, true
				}
			}) != nil && f.down {
				return keyvalue.NotWritten
			}
			return f.outcome(done)
		},
		revision: func(context.Context) (ident.Revision, error) { err := call(func() {}); return f.revision, err },
	}
}

// newTestController returns a controller of domain d whose engines all report
// the same state. It does not run; tests call its steps.
func newTestController(f *fakeStore, t *text.Text) *Controller {
	c := newController("d", "a", f.registry(DefaultTuning().LeaseTTL), log.NewNopLogger(), WithNow(f.clock.time))
	snapshot := &config.Snapshot{Revision: 1, Text: t}
	c.Owner = func() bool { return true }
	c.Snapshot = func() *config.Snapshot { return snapshot }
	c.State = func(context.Context, ident.Address) (engine.State, error) { return engine.State{Role: "decode"}, nil }
	c.Requests = func(context.Context, ident.Address) ([]engine.Held, error) { return nil, nil }
	return c
}

// textOf returns a text with decode engines that serve one model.
func textOf(names ...ident.EndpointID) *text.Text {
	t := &text.Text{Models: []text.Model{{Name: "m", Version: "v2", Adapters: []string{"x"}}}}
	for _, name := range names {
		t.Engines = append(t.Engines, text.Engine{
			Name: name, Domain: "d", Address: ident.Address(name), Role: text.Decode,
			Models: []ident.ModelID{"m"}, OrderTimeoutMS: 2000,
		})
	}
	return t
}
