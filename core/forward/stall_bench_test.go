package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
)

const (
	// callerPatience is the gap after which a simulated caller gives up a stream.
	callerPatience = 2 * time.Second
	// repeatedPrefill is the time for the prefill of a resumed stream and its first event.
	repeatedPrefill = 250 * time.Millisecond
	// benchStreams is the number of streams that run at the silent engine.
	benchStreams = 200
)

// silentTimes are the lengths of the silence of an engine in a benchmark.
type silentTimes struct {
	name          string
	shortest, end time.Duration
}

// BenchmarkSilentEngine has an engine that is silent for different times in the middle of
// its streams. It reports the fraction of the streams that callers got complete, the calls
// after the first for each stream, and the average longest gap between two events.
func BenchmarkSilentEngine(b *testing.B) {
	for _, times := range []silentTimes{
		{"800to1200ms", 800 * time.Millisecond, 1200 * time.Millisecond},
		{"500to2000ms", 500 * time.Millisecond, 2 * time.Second},
		{"forever", time.Minute, 2 * time.Minute},
	} {
		for _, extraCalls := range []int{0, benchStreams / 10, benchStreams} {
			b.Run(fmt.Sprintf("%s/budget%d", times.name, extraCalls), func(b *testing.B) {
				for b.Loop() {
					serveSilentEngine(b, times, extraCalls)
				}
			})
		}
	}
}

// serveSilentEngine serves streams whose first engine is silent once, with a retry budget
// of the given number of calls.
func serveSilentEngine(b *testing.B, times silentTimes, extraCalls int) {
	h := newStallHarness(b, 2)
	h.router.retrySettings = RetryBudgetSettings{RetryMinimum: (float64(extraCalls) + 0.5) / retryBudgetMargin, RetryWindow: time.Minute}
	h.reserve = func(e engines.Entry) (string, error) {
		if e.ID == "d2" && h.callCount() < benchStreams {
			return "", errRefused
		}
		return "reservation", nil
	}
	h.send = func(_ int, c Call, sink Sink) error {
		if c.LastEventID != "" {
			time.Sleep(repeatedPrefill)
			return sendStream(c, sink, 0, 0)
		}
		return sendStream(c, sink, silentAfter, times.shortest+rand.N(times.end-times.shortest))
	}
	var callers sync.WaitGroup
	var complete, gaps atomic.Int64
	for range benchStreams {
		callers.Go(func() {
			got, longest := serveImpatientCaller(h)
			if got.body.String() == wholeStream() && !got.aborted {
				complete.Add(1)
			}
			gaps.Add(longest.Milliseconds())
		})
	}
	callers.Wait()
	b.ReportMetric(float64(complete.Load())/benchStreams, "complete")
	b.ReportMetric(float64(h.callCount()-benchStreams)/benchStreams, "repeats/stream")
	b.ReportMetric(float64(gaps.Load())/benchStreams, "gap-ms")
}

// serveImpatientCaller serves a stream for a caller that gives up after callerPatience
// without an event. It returns the answer and the longest gap before an event.
func serveImpatientCaller(h *harness) (*reply, time.Duration) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	patience := time.AfterFunc(callerPatience, func() { cancel(fault.New(fault.CallerGone, "gone")) })
	last, longest := time.Now(), time.Duration(0)
	got := &reply{}
	got.onWrite = func() {
		patience.Reset(callerPatience)
		longest = max(longest, time.Since(last))
		last = time.Now()
	}
	h.serveTo(ctx, got, "resume", func(*Request) {})
	return got, longest
}
