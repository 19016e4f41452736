package claims

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// testService returns a service that owns all logs, over a store in memory.
func testService(t *testing.T) *Service {
	t.Helper()
	m := newMemoryStore(1, 0, 0)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	count := metrics.NilCounter{}
	s := &Service{
		self: "a-1", log: log.NewNopLogger(), now: time.Now, ctx: ctx, cancel: cancel,
		view:    func() *membership.View { return &membership.View{} },
		metrics: serviceMetrics{count, count, count, count},
	}
	for i := range s.shards {
		s.shards[i] = testAppender(t, m.calls())
	}
	return s
}

// testCall is a call that may not be repeated.
func testCall(deadline time.Duration) Call {
	return Call{
		ID: ident.NewRequestID(), Organisation: "org", Route: "/bookings", IdempotencyKey: "k",
		Request: []byte("booking"), Deadline: time.Now().Add(deadline),
	}
}

// TestRepetitionOfAnAnsweredCallIsReplayed has the answer reach the caller, and
// the caller repeat the call, before the answer stands in the log.
func TestRepetitionOfAnAnsweredCallIsReplayed(t *testing.T) {
	s := testService(t)
	first, err := s.Claim(t.Context(), testCall(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	var later sync.WaitGroup
	later.Go(func() {
		time.Sleep(endWait / 3)
		first.Complete(Answer{Status: 201})
	})
	again, err := s.Claim(t.Context(), testCall(time.Minute))
	if err != nil || again.Replay == nil || again.Replay.Status != 201 {
		t.Errorf("repetition: %+v, %v, want the first answer", again, err)
	}
	later.Wait()
	s.wg.Wait()
}

// TestRepetitionOfARunningCallIsRefused keeps the first call running.
func TestRepetitionOfARunningCallIsRefused(t *testing.T) {
	s := testService(t)
	if _, err := s.Claim(t.Context(), testCall(time.Minute)); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	if _, err := s.Claim(t.Context(), testCall(time.Minute)); !fault.Is(err, fault.CallInProgress) {
		t.Errorf("repetition: %v, want CallInProgress", err)
	}
	if took := time.Since(started); took > claimTimeout {
		t.Errorf("refused after %v", took)
	}
}
