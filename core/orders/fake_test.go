package orders

import (
	"context"
	"strconv"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/config"
	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
	"monsoonfork/core/text"
)

// clock is a clock that tests advance.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{time.Unix(1_800_000_000, 0)} }

func (c *clock) time() time.Time { return c.now }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

// fakeStore simulates the key-value store for one failure domain. Tests use it
// from one goroutine.
type fakeStore struct {
	clock         *clock
	deadlines     map[keyvalue.LeaseID]time.Time
	holder        keyvalue.LeaseID
	fencing       storedFencing
	revision      ident.Revision
	unreachable   bool // Calls fail without an effect.
	loseResponses bool // Calls take effect, but their responses are lost.
	sequence      int
}

func newFakeStore(c *clock) *fakeStore {
	return &fakeStore{clock: c, deadlines: map[keyvalue.LeaseID]time.Time{}}
}

// writeOutcome returns the outcome that the caller of a write sees.
func (f *fakeStore) writeOutcome(done bool) keyvalue.Outcome {
	switch {
	case f.loseResponses:
		return keyvalue.Unknown
	case done:
		return keyvalue.Written
	}
	return keyvalue.Conflict
}

// callError returns the error that the caller of a call sees, or nil.
func (f *fakeStore) callError() error {
	if f.unreachable || f.loseResponses {
		return fault.New(fault.StoreUnavailable, "no response")
	}
	return nil
}

// expireLeases ends the leases whose deadline has passed.
func (f *fakeStore) expireLeases() {
	for id, at := range f.deadlines {
		if f.clock.now.After(at) {
			f.endLease(id)
		}
	}
}

func (f *fakeStore) endLease(id keyvalue.LeaseID) {
	delete(f.deadlines, id)
	if f.holder == id {
		f.holder = ""
	}
}

// leaseStore returns the store's calls.
func (f *fakeStore) leaseStore(ttl time.Duration) leaseStore {
	call := func(effect func()) error {
		f.expireLeases()
		if !f.unreachable {
			effect()
		}
		return f.callError()
	}
	return leaseStore{
		create: func(context.Context, time.Duration) (keyvalue.Lease, error) {
			f.sequence++
			l := keyvalue.Lease{ID: keyvalue.LeaseID(strconv.Itoa(f.sequence)), Deadline: f.clock.now.Add(ttl)}
			err := call(func() { f.deadlines[l.ID] = l.Deadline })
			return l, err
		},
		renew: func(_ context.Context, l keyvalue.Lease) (keyvalue.Lease, error) {
			known := false
			err := call(func() {
				if _, known = f.deadlines[l.ID]; known {
					f.deadlines[l.ID] = f.clock.now.Add(ttl)
				}
			})
			if err == nil && !known {
				return l, fault.New(fault.NotHolder, "lease expired")
			}
			if err == nil {
				l.Deadline = f.clock.now.Add(ttl)
			}
			return l, err
		},
		destroy: func(_ context.Context, id keyvalue.LeaseID) error { return call(func() { f.endLease(id) }) },
		isHeld:  func(context.Context) (bool, error) { err := call(func() {}); return f.holder != "", err },
		acquire: func(_ context.Context, id keyvalue.LeaseID) keyvalue.Outcome {
			done := false
			if call(func() {
				if _, known := f.deadlines[id]; known && f.holder == "" {
					f.holder, done = id, true
				}
			}) != nil && f.unreachable {
				return keyvalue.NotWritten
			}
			return f.writeOutcome(done)
		},
		readFencing: func(context.Context) (storedFencing, error) { err := call(func() {}); return f.fencing, err },
		swapFencing: func(_ context.Context, next storedFencing) keyvalue.Outcome {
			done := false
			if call(func() {
				if next.version == f.fencing.version {
					f.fencing, done = storedFencing{next.record, next.version + 1}, true
				}
			}) != nil && f.unreachable {
				return keyvalue.NotWritten
			}
			return f.writeOutcome(done)
		},
		newestRevision: func(context.Context) (ident.Revision, error) { err := call(func() {}); return f.revision, err },
	}
}

// newTestController returns a controller of domain d whose engines report that
// they are empty decode engines. Its loops do not run; tests call their steps.
func newTestController(f *fakeStore, t *text.Text) *Controller {
	c := newController("d", "a", f.leaseStore(DefaultTuning().LeaseTTL), log.NewNopLogger(), WithNow(f.clock.time))
	snapshot := &config.Snapshot{Revision: 1, Text: t}
	c.IsOwner = func() bool { return true }
	c.Snapshot = func() *config.Snapshot { return snapshot }
	c.State = func(context.Context, ident.Address) (engineapi.State, error) {
		return engineapi.State{Role: "decode"}, nil
	}
	c.Requests = func(context.Context, ident.Address) ([]engineapi.HeldRequest, error) { return nil, nil }
	return c
}

// newTestText returns a configuration text with decode engines that serve one
// model.
func newTestText(names ...ident.EndpointID) *text.Text {
	t := &text.Text{Models: []text.Model{{Name: "m", Version: "v2", Adapters: []string{"x"}}}}
	for _, name := range names {
		t.Engines = append(t.Engines, text.Engine{
			Name: name, Domain: "d", Address: ident.Address(name), Role: text.Decode,
			Models: []ident.ModelID{"m"}, OrderTimeoutMS: 2000,
		})
	}
	return t
}
