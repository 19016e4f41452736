package spread

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
	"monsoonfork/core/pause"
	"monsoonfork/core/staging"
)

// store is a store that instances follow.
type store struct {
	mu      sync.Mutex
	version ident.Revision
	away    map[ident.InstanceID]bool // Instances that it turns away.
	follows map[ident.InstanceID]bool
	apart   bool // Whether the domains are cut off from each other.
	engines int  // In its list; at least one.
	records int  // Entries of the list that instances have sent each other.
	largest int  // Most entries of one answer.
	sentBy  map[ident.InstanceID]int
}

// list returns the list of engines as of a version.
func (s *store) list(v ident.Revision) []engines.Entry {
	all := make([]engines.Entry, 0, max(1, s.engines))
	for n := range max(1, s.engines) {
		all = append(all, engines.Entry{ID: ident.EndpointID(fmt.Sprintf("e%d", n)), Service: "s", AsOf: int64(v)})
	}
	return all
}

// sent counts the entries of an answer.
func (s *store) sent(by ident.InstanceID, answer proto.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sentBy == nil {
		s.sentBy = make(map[ident.InstanceID]int)
	}
	n := len(answer.(*PullReply).GetEngines())
	s.records += n
	s.sentBy[by] += n
	s.largest = max(s.largest, n)
}

// takeRecords returns how many entries were sent since the last time.
func (s *store) takeRecords() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.records
	s.records = 0
	return n
}

// instance is one instance of a fleet.
type instance struct {
	*Spread
	id ident.InstanceID

	mu      sync.Mutex
	version ident.Revision
	healthy bool
	board   staging.Board
}

// take takes a configuration.
func (i *instance) take(v ident.Revision) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.version = max(i.version, v)
}

func (i *instance) known() ident.Revision {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.version
}

// newFleet starts instances in two domains.
func newFleet(t *testing.T, st *store, members int) map[ident.InstanceID]*instance {
	t.Helper()
	fleet := make(map[ident.InstanceID]*instance)
	var all []membership.Member
	for _, domain := range []string{"a", "b"} {
		for m := range members {
			id := ident.InstanceID(fmt.Sprintf("%s%d", domain, m))
			all = append(all, membership.Member{ID: id, Domain: ident.DomainID(domain), PeerAddress: ident.Address(id)})
			fleet[id] = &instance{id: id, board: staging.Board{Now: time.Now}}
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, self := range all {
		table := membership.NewTable(self, log.NewNopLogger(), time.Now)
		for _, m := range all {
			if m.ID != self.ID {
				table.Heard(m)
			}
		}
		fleet[self.ID].Spread = newSpread(fleet, st, fleet[self.ID], table)
	}
	for _, i := range fleet {
		wg.Go(func() { i.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
	return fleet
}

// newSpread returns the spread of one instance.
func newSpread(fleet map[ident.InstanceID]*instance, st *store, i *instance, table *membership.Table) *Spread {
	return &Spread{
		View: table.View,
		Call: func(ctx context.Context, to ident.InstanceID, _ string, req, resp proto.Message) error {
			if st.cut(i.id, to) {
				return fault.New(fault.PeerUnavailable, "cut off")
			}
			answer, err := fleet[to].Serve(ctx, i.id, req.(*PullRequest))
			if err == nil {
				st.sent(to, answer)
				proto.Merge(resp, answer)
			}
			return err
		},
		Table:   engines.NewTable(),
		Version: i.known,
		Config:  func() []byte { return fmt.Append(nil, i.known()) },
		Take: func(raw []byte) {
			var v ident.Revision
			_, _ = fmt.Sscan(string(raw), &v)
			i.take(v)
		},
		Follow:   func(ctx context.Context) { st.follow(ctx, i) },
		Healthy:  func() (bool, time.Time) { i.mu.Lock(); defer i.mu.Unlock(); return i.healthy, time.Time{} },
		Settling: func() bool { return false },
		Notice:   func() ([]byte, int64) { return i.board.Newest() },
		TakeNotice: func(raw []byte, revision int64) {
			// What can't be read is dropped; the versions here can.
			_ = i.board.Put(raw, revision)
		},
		Expect: func() int { return len(fleet) },
		Told:   func(int) {},
		Now:    time.Now,
		Log:    log.NewNopLogger(),
	}
}

// follow gives an instance the store's version until ctx ends.
func (s *store) follow(ctx context.Context, i *instance) {
	for ctx.Err() == nil {
		s.mu.Lock()
		s.follows[i.id] = true
		away, v := s.away[i.id], s.version
		s.mu.Unlock()
		i.mu.Lock()
		i.healthy = !away
		i.mu.Unlock()
		if !away {
			i.take(v)
			i.Table.Replace(s.list(v), int64(v))
		}
		pause.For(ctx, 5*time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.follows, i.id)
}

// set changes the store.
func (s *store) set(v ident.Revision, away ...ident.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = v
	s.away = make(map[ident.InstanceID]bool)
	for _, id := range away {
		s.away[id] = true
	}
}

// cut reports whether two instances can't reach each other.
func (s *store) cut(x, y ident.InstanceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apart && x[0] != y[0]
}

func (s *store) followers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.follows)
}

// awaitVersion waits until all instances know a version, and returns how long it
// took.
func awaitVersion(t *testing.T, fleet map[ident.InstanceID]*instance, v ident.Revision) time.Duration {
	t.Helper()
	started := time.Now()
	for _, i := range fleet {
		for i.known() < v {
			if time.Since(started) > 5*time.Second {
				t.Fatalf("%s knows version %d, not %d", i.id, i.known(), v)
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
	return time.Since(started)
}
