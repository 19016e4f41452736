package spread

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
	"monsoonfork/core/staging"
)

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

// TestManyChangesAreCompared has a list come to an instance between two calls of a
// member: the answer is not all of it, but that much is missing.
func TestManyChangesAreCompared(t *testing.T) {
	const listed = 3000
	st := &store{follows: make(map[ident.InstanceID]bool), engines: listed}
	i := &instance{id: "a0", healthy: true, board: staging.Board{Now: time.Now}}
	i.Spread = newSpread(nil, st, i, membership.NewTable(membership.Member{ID: "a0", Domain: "a"}, log.NewNopLogger(), time.Now))
	i.Table.Replace(st.list(1), 1)
	answer, err := i.Serve(context.Background(), "a1", &PullRequest{Of: "a0"})
	r, ok := answer.(*PullReply)
	if err != nil || !ok || len(r.GetEngines()) > 2*replyEntries || !r.GetMore() {
		t.Errorf("%d entries, more %v, %v", len(r.GetEngines()), r.GetMore(), err)
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
