package reaper

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/engineapi"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// testReaper is a reaper with one simulated engine, simulated holders and a manual
// clock.
type testReaper struct {
	*Reaper
	mu           sync.Mutex
	clock        time.Time
	holders      map[string]ident.InstanceID // Attempts at the engine, with their holders.
	holderStates map[ident.InstanceID]HolderState
	replies      map[ident.InstanceID]func(attempts []string) HolderReply
	queries      int      // Calls of QueryHolder.
	aborted      []string // Attempts in order of their aborts.
}

// newTestReaper returns a reaper that sweeps only in advance.
func newTestReaper(t *testing.T) *testReaper {
	b := &testReaper{
		Reaper:       New(log.NewNopLogger()),
		clock:        time.Unix(1000, 0),
		holders:      map[string]ident.InstanceID{},
		holderStates: map[ident.InstanceID]HolderState{},
		replies:      map[ident.InstanceID]func([]string) HolderReply{},
	}
	b.now = func() time.Time { return b.clock }
	b.Engines = func() []text.Engine { return []text.Engine{{Name: "d1", Address: "x"}} }
	b.LongestRouteTimeout = func() time.Duration { return time.Minute }
	b.HolderState = func(id ident.InstanceID) HolderState { return b.holderStates[id] }
	b.QueryHolder = func(_ context.Context, id ident.InstanceID, attempts []string) HolderReply {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.queries++
		if f := b.replies[id]; f != nil {
			return f(attempts)
		}
		return HolderReply{}
	}
	b.ListAttempts = func(context.Context, ident.Address) ([]engineapi.HeldRequest, error) {
		b.mu.Lock()
		defer b.mu.Unlock()
		var list []engineapi.HeldRequest
		for attempt, holder := range b.holders {
			list = append(list, engineapi.HeldRequest{Attempt: attempt, Holder: holder})
		}
		return list, nil
	}
	b.Abort = func(_ context.Context, _ ident.Address, attempt string) (bool, error) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.aborted = append(b.aborted, attempt)
		delete(b.holders, attempt)
		return true, nil
	}
	t.Cleanup(func() { _ = b.Close() })
	return b
}

// advance moves the clock forward by d and sweeps at every SweepInterval.
func (b *testReaper) advance(d time.Duration) {
	for end := b.clock.Add(d); b.clock.Before(end); b.clock = b.clock.Add(b.tuning.SweepInterval) {
		b.sweep()
		b.wg.Wait()
	}
}

// replyAll returns a reply function that says for every attempt whether it is held.
func replyAll(held bool) func([]string) HolderReply {
	return func(attempts []string) HolderReply {
		a := HolderReply{Held: make([]bool, len(attempts))}
		for i := range a.Held {
			a.Held[i] = held
		}
		return a
	}
}

// TestEndedHolderIsAborted checks that the attempt of an ended holder is aborted and
// that of a live holder is not.
func TestEndedHolderIsAborted(t *testing.T) {
	b := newTestReaper(t)
	b.holders["r.1"], b.holders["q.1"] = "ended", "live"
	b.holderStates["ended"], b.holderStates["live"] = Ended, Alive
	b.replies["live"] = replyAll(true)
	b.advance(6 * time.Second)
	if len(b.aborted) != 1 || b.aborted[0] != "r.1" {
		t.Errorf("aborted %v, want only r.1", b.aborted)
	}
}

// TestTwoRefusalsCountAsEnded checks that an attempt is aborted after the address of
// its holder refused at least two queries.
func TestTwoRefusalsCountAsEnded(t *testing.T) {
	b := newTestReaper(t)
	b.holders["r.1"] = "remote"
	b.replies["remote"] = func([]string) HolderReply { return HolderReply{Ended: true} }
	b.advance(16 * time.Second)
	if len(b.aborted) != 1 || b.queries < 2 {
		t.Errorf("aborted %v after %d queries, want one attempt after at least 2", b.aborted, b.queries)
	}
}

// TestSingleRefusalIsNotEnded checks that refusals that alternate with replies never
// count as the end of the holder.
func TestSingleRefusalIsNotEnded(t *testing.T) {
	b := newTestReaper(t)
	b.holders["r.1"] = "remote"
	n := 0
	b.replies["remote"] = func(attempts []string) HolderReply {
		if n++; n%2 == 1 {
			return HolderReply{Ended: true}
		}
		return replyAll(true)(attempts)
	}
	b.advance(50 * time.Second)
	if len(b.aborted) != 0 {
		t.Errorf("aborted %v of a live holder, want none", b.aborted)
	}
}

// TestUnresponsiveHolderKeepsAttemptUntilExpiry checks that the attempt of a paused
// holder is aborted only when it is older than the longest route timeout plus
// ExpiryMargin.
func TestUnresponsiveHolderKeepsAttemptUntilExpiry(t *testing.T) {
	b := newTestReaper(t)
	b.holders["r.1"] = "paused"
	b.advance(time.Minute + b.tuning.ExpiryMargin)
	if len(b.aborted) != 0 {
		t.Fatalf("aborted %v of a paused holder, want none before expiry", b.aborted)
	}
	b.advance(3 * b.tuning.SweepInterval)
	if len(b.aborted) != 1 {
		t.Errorf("aborted %v after expiry, want one attempt", b.aborted)
	}
}

// TestAttemptNotServedByHolderIsAborted checks that an attempt is aborted if its live
// holder replies that it does not serve it.
func TestAttemptNotServedByHolderIsAborted(t *testing.T) {
	b := newTestReaper(t)
	b.holders["r.1"], b.holders["r.2"] = "live", "live"
	b.holderStates["live"] = Alive
	b.replies["live"] = func(attempts []string) HolderReply {
		a := replyAll(true)(attempts)
		for i := range attempts {
			a.Held[i] = attempts[i] == "r.2"
		}
		return a
	}
	b.advance(14 * time.Second)
	if len(b.aborted) != 1 || b.aborted[0] != "r.1" {
		t.Errorf("aborted %v, want only r.1", b.aborted)
	}
}

// TestNoQueryBeforeDelay checks that a holder is not queried about an attempt that was
// first listed less than QueryDelay ago.
func TestNoQueryBeforeDelay(t *testing.T) {
	b := newTestReaper(t)
	b.holders["r.1"] = "live"
	b.holderStates["live"] = Alive
	b.replies["live"] = replyAll(false)
	b.advance(b.tuning.QueryDelay)
	if b.queries != 0 || len(b.aborted) != 0 {
		t.Errorf("%d queries, aborted %v; want none", b.queries, b.aborted)
	}
}

// TestFailedAbortIsRetried checks that later sweeps repeat an abort until it succeeds.
func TestFailedAbortIsRetried(t *testing.T) {
	b := newTestReaper(t)
	b.holders["r.1"] = "ended"
	b.holderStates["ended"] = Ended
	succeed := b.Abort
	failures := 2
	b.Abort = func(ctx context.Context, to ident.Address, attempt string) (bool, error) {
		if failures--; failures >= 0 {
			return false, context.DeadlineExceeded
		}
		return succeed(ctx, to, attempt)
	}
	b.advance(12 * time.Second)
	if len(b.aborted) != 1 {
		t.Errorf("aborted %v, want one attempt", b.aborted)
	}
}
