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

// newTestService returns a service without other instances, over an in-memory store.
func newTestService(t *testing.T) *Service {
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
		s.shards[i] = startTestShard(t, m.asStore())
	}
	return s
}

// newTestCall returns a call with a fixed Idempotency-Key. The deadline is relative to
// now.
func newTestCall(deadline time.Duration) Call {
	return Call{
		RequestID: ident.NewRequestID(), Organisation: "org", Route: "/bookings", IdempotencyKey: "k",
		Request: []byte("booking"), Deadline: time.Now().Add(deadline),
	}
}

// TestRepetitionReplaysAnswerRecordedLate checks that a caller that repeats a call
// after its answer, but before the answer is in the log, gets the answer again.
func TestRepetitionReplaysAnswerRecordedLate(t *testing.T) {
	s := newTestService(t)
	first, err := s.Claim(t.Context(), newTestCall(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	var later sync.WaitGroup
	later.Go(func() {
		time.Sleep(inProgressWait / 3)
		first.Complete(Answer{Status: 201})
	})
	again, err := s.Claim(t.Context(), newTestCall(time.Minute))
	if err != nil || again.Replay == nil || again.Replay.Status != 201 {
		t.Errorf("repetition: %+v, %v, want the first answer", again, err)
	}
	later.Wait()
	s.wg.Wait()
}

// TestRepetitionOfRunningCallRejected checks that a repetition of a call that keeps
// running is refused with CallInProgress within claimTimeout.
func TestRepetitionOfRunningCallRejected(t *testing.T) {
	s := newTestService(t)
	if _, err := s.Claim(t.Context(), newTestCall(time.Minute)); err != nil {
		t.Fatal(err)
	}
	started := time.Now()
	if _, err := s.Claim(t.Context(), newTestCall(time.Minute)); !fault.Is(err, fault.CallInProgress) {
		t.Errorf("repetition: %v, want CallInProgress", err)
	}
	if elapsed := time.Since(started); elapsed > claimTimeout {
		t.Errorf("refused after %v", elapsed)
	}
}
