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

// TestOneFollowerADomain wants few followers, and news in force everywhere.
func TestOneFollowerADomain(t *testing.T) {
	st := &store{version: 1, follows: make(map[ident.InstanceID]bool)}
	fleet := newFleet(t, st, 5)
	awaitVersion(t, fleet, 1)
	time.Sleep(handOver + 2*staleAfter)
	if n := st.followers(); n != 2 {
		t.Errorf("%d instances follow the store, want one in each of two domains", n)
	}
	st.set(2)
	if took := awaitVersion(t, fleet, 2); took > 500*time.Millisecond {
		t.Errorf("a change took %v", took)
	}
	for _, i := range fleet {
		if known, _ := i.Table.Known(); !known || len(i.Table.Of("s")) != 1 {
			t.Errorf("%s does not know the engines", i.id)
		}
	}
}

// TestListIsNotSentAgain has the first of a domain lose the store for a moment, so that
// the others ask the second one, and then the first one again. All of them know the
// list already: sending it to each of them anew takes a link that other news need.
func TestListIsNotSentAgain(t *testing.T) {
	const listed = 400
	st := &store{version: 1, follows: make(map[ident.InstanceID]bool), engines: listed}
	fleet := newFleet(t, st, 6)
	awaitVersion(t, fleet, 1)
	time.Sleep(handOver + 2*staleAfter)
	first, _ := fleet["a0"].View().Owner("a", watchKey)
	st.takeRecords()
	for range 3 {
		st.set(1, first.ID)
		time.Sleep(2 * staleAfter)
		st.set(1)
		time.Sleep(handOver + staleAfter)
	}
	if n := st.takeRecords(); n > listed/10 {
		t.Errorf("%d entries were sent though nothing has changed", n)
	}
	st.set(2)
	awaitVersion(t, fleet, 2)
}

// TestLargeListComesInPieces has a domain learn a list from the one member that
// the store lets in. Its link has to carry the list a few times, not once for each.
func TestLargeListComesInPieces(t *testing.T) {
	const listed, members = 3000, 30
	st := &store{version: 1, follows: make(map[ident.InstanceID]bool), engines: listed, away: make(map[ident.InstanceID]bool)}
	for _, domain := range []string{"a", "b"} {
		for m := range members {
			st.away[ident.InstanceID(fmt.Sprintf("%s%d", domain, m))] = true
		}
	}
	fleet := newFleet(t, st, members)
	time.Sleep(2 * staleAfter)
	var first []ident.InstanceID
	for _, domain := range []ident.DomainID{"a", "b"} {
		m, _ := fleet["a0"].View().Owner(domain, watchKey)
		first = append(first, m.ID)
	}
	st.mu.Lock()
	delete(st.away, first[0])
	delete(st.away, first[1])
	st.mu.Unlock()
	started := time.Now()
	for _, i := range fleet {
		for known, _ := i.Table.Known(); !known || len(i.Table.Of("s")) < listed; known, _ = i.Table.Known() {
			if time.Since(started) > 10*time.Second {
				t.Fatalf("%s knows %d engines", i.id, len(i.Table.Of("s")))
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	t.Logf("all know %d engines after %v", listed, time.Since(started))
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.largest > 2*replyEntries {
		t.Errorf("an answer of %d entries", st.largest)
	}
	for _, id := range first {
		if n := st.sentBy[id]; n > members/2*listed {
			t.Errorf("%s sent %d entries, the list %.1f times", id, n, float64(n)/listed)
		}
	}
}

// TestNoticesReachAll has the followers learn of engines that change their stages.
func TestNoticesReachAll(t *testing.T) {
	st := &store{version: 1, follows: make(map[ident.InstanceID]bool)}
	fleet := newFleet(t, st, 5)
	awaitVersion(t, fleet, 1)
	time.Sleep(handOver + 2*staleAfter)
	first, _ := fleet["a0"].View().Owner("a", watchKey)
	fleet[first.ID].TakeNotice([]byte(`{"Holder":"a0"}`), 7)
	started := time.Now()
	for _, i := range fleet {
		if i.id[0] != 'a' {
			continue
		}
		for _, revision := i.Notice(); revision != 7; _, revision = i.Notice() {
			if time.Since(started) > 500*time.Millisecond {
				t.Fatalf("%s has not heard of a notice", i.id)
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// TestTurnedAway turns all of one domain away from the store.
func TestTurnedAway(t *testing.T) {
	st := &store{version: 1, follows: make(map[ident.InstanceID]bool)}
	fleet := newFleet(t, st, 3)
	awaitVersion(t, fleet, 1)
	st.set(1, "a0", "a1", "a2")
	time.Sleep(2 * staleAfter)
	st.set(3, "a0", "a1", "a2")
	if took := awaitVersion(t, fleet, 3); took > 2*time.Second {
		t.Errorf("a change took %v where the store turns instances away", took)
	}
}

// TestFewAskAnAbsentStore has the store turn all instances away: each of its calls is
// paid for, and the answer is the same for all.
func TestFewAskAnAbsentStore(t *testing.T) {
	const members = 12
	st := &store{version: 1, follows: make(map[ident.InstanceID]bool)}
	fleet := newFleet(t, st, members)
	awaitVersion(t, fleet, 1)
	time.Sleep(handOver + 2*staleAfter)
	var all []ident.InstanceID
	for id := range fleet {
		all = append(all, id)
	}
	st.set(1, all...)
	time.Sleep(3 * staleAfter)
	if n := st.followers(); n > members/2 {
		t.Errorf("%d of %d instances ask for an absent store", n, 2*members)
	}
	st.set(2)
	if took := awaitVersion(t, fleet, 2); took > time.Second {
		t.Errorf("a change took %v after the store's return", took)
	}
}

// TestSecondFollows turns the first of each domain away while the domains are cut
// off from each other.
func TestSecondFollows(t *testing.T) {
	st := &store{version: 1, follows: make(map[ident.InstanceID]bool), apart: true}
	fleet := newFleet(t, st, 6)
	awaitVersion(t, fleet, 1)
	time.Sleep(handOver + 2*staleAfter)
	var first []ident.InstanceID
	for _, domain := range []ident.DomainID{"a", "b"} {
		m, _ := fleet["a0"].View().Owner(domain, watchKey)
		first = append(first, m.ID)
	}
	st.set(2, first...)
	if took := awaitVersion(t, fleet, 2); took > 2*time.Second {
		t.Errorf("a change took %v", took)
	}
	time.Sleep(staleAfter)
	if n := st.followers(); n > 2*askedNear {
		t.Errorf("%d instances follow the store", n)
	}
}

// unpacked returns the configuration of a reply.
func unpacked(t *testing.T, r *PullReply) string {
	t.Helper()
	raw, err := unpack(r.GetConfiguration())
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// TestUnhealthyIsSaid asks an instance that has no fresh news.
func TestUnhealthyIsSaid(t *testing.T) {
	st := &store{follows: make(map[ident.InstanceID]bool)}
	i := &instance{id: "a0", version: 4, board: staging.Board{Now: time.Now}}
	i.Spread = newSpread(nil, st, i, membership.NewTable(membership.Member{ID: "a0", Domain: "a"}, log.NewNopLogger(), time.Now))
	answer, err := i.Serve(context.Background(), "b0", &PullRequest{Of: "a0"})
	r, ok := answer.(*PullReply)
	if err != nil || !ok || r.GetHealthy() || unpacked(t, r) != "4" {
		t.Errorf("%v, %v", answer, err)
	}
	if !fault.Is(fault.From(context.Canceled), fault.CallerGone) {
		t.Error("a cancelled call has another kind")
	}
}

// TestOthersDoNotWatchAtTheStart has an instance learn, while its first list has to
// do, that another one is the first of its domain.
func TestOthersDoNotWatchAtTheStart(t *testing.T) {
	now := time.Now()
	settling := true
	s := &Spread{
		Now: func() time.Time { return now }, Log: log.NewNopLogger(), Settle: 2 * time.Second,
		Settling: func() bool { return settling }, Follow: func(ctx context.Context) { <-ctx.Done() },
	}
	decide := func(rank int, want bool, why string) {
		t.Helper()
		if s.decide(t.Context(), rank); s.isFollowing() != want {
			t.Errorf("%s: follows %v, want %v", why, !want, want)
		}
	}
	decide(0, true, "alone")
	decide(followers, false, "another one is first")
	settling = false
	now = now.Add(s.Settle)
	decide(followers, false, "the first one has settled just now")
	now = now.Add(staleAfter + time.Millisecond)
	decide(followers, true, "nobody healthy answers")
	s.setFollowing(t.Context(), false, "end of the test")
}
