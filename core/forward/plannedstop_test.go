package forward

import (
	"context"
	"testing"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// TestPlannedStopRefusesStreamsThatMayBeCut guards against streams that are accepted during a
// planned stop since the average stream would end in time, so that many others are cut.
func TestPlannedStopRefusesStreamsThatMayBeCut(t *testing.T) {
	h := newHarness(t)
	for i := range 40 { // One stream in four takes four times as long as the others.
		took := 100 * time.Millisecond
		if i%4 == 0 {
			took = 400 * time.Millisecond
		}
		h.router.durations.record("model", 50, took)
	}
	h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, eventText(1)) }
	h.router.SetStopTime(time.Now().Add(300 * time.Millisecond))
	if got := h.serve("stream"); !fault.Is(got.err, fault.ShuttingDown) || fault.From(got.err).Ran != fault.NotRun || h.callCount() > 0 {
		t.Errorf("%v after %d calls; want a refusal before any", got.err, h.callCount())
	}
	h.router.SetStopTime(time.Now().Add(600 * time.Millisecond))
	if got := h.serve("stream"); got.err != nil {
		t.Errorf("a stream that ends in time: %v", got.err)
	}
}

// TestPlannedStopRefusesStreamsOfUnknownDuration guards against streams that are accepted
// during a planned stop although nothing is known of their duration, as after a start.
func TestPlannedStopRefusesStreamsOfUnknownDuration(t *testing.T) {
	h := newHarness(t)
	h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, eventText(1)) }
	defer h.router.durations.begin("model", 50, time.Now())()    // Tells nothing yet.
	h.router.SetStopTime(time.Now().Add(500 * time.Millisecond)) // The timeout of the route is 1 s.
	if got := h.serve("stream"); !fault.Is(got.err, fault.ShuttingDown) || h.callCount() > 0 {
		t.Errorf("%v after %d calls; want a refusal before any", got.err, h.callCount())
	}
	h.router.SetStopTime(time.Now().Add(2 * time.Second))
	if got := h.serve("stream"); got.err != nil {
		t.Errorf("a stream whose deadline is before the stop: %v", got.err)
	}
}

// TestPlannedStopCountsRunningStreams guards against streams that are accepted during a planned
// stop by the duration of earlier ones, although the engines have become slower since.
func TestPlannedStopCountsRunningStreams(t *testing.T) {
	h := newHarness(t)
	for range 20 {
		h.router.durations.record("model", 50, 100*time.Millisecond)
	}
	for range 4 {
		defer h.router.durations.begin("model", 50, time.Now().Add(-500*time.Millisecond))()
	}
	h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, eventText(1)) }
	h.router.SetStopTime(time.Now().Add(300 * time.Millisecond))
	if got := h.serve("stream"); !fault.Is(got.err, fault.ShuttingDown) || h.callCount() > 0 {
		t.Errorf("%v after %d calls; want a refusal before any", got.err, h.callCount())
	}
}

// TestPlannedStopRefusesLatePlainRequests guards against a request that must not run twice, is
// sent to an engine shortly before the planned end of the process, and is cut without an answer.
func TestPlannedStopRefusesLatePlainRequests(t *testing.T) {
	for _, name := range []string{"once", "safe"} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.send = func(_ int, _ Call, sink Sink) error {
				time.Sleep(200 * time.Millisecond)
				return sendAnswer(sink, 200, "answer")
			}
			for range 3 {
				if got := h.serve(name); got.err != nil {
					t.Fatal(got.err)
				}
			}
			before := h.callCount()
			h.router.SetStopTime(time.Now().Add(100 * time.Millisecond))
			got := h.serve(name)
			if f := fault.From(got.err); f.Kind != fault.ShuttingDown || f.Ran != fault.NotRun || f.RetryAfter.IsZero() || h.callCount() > before {
				t.Errorf("%v, ran %v, %d calls; want a refusal before any", got.err, f.Ran, h.callCount()-before)
			}
			h.router.SetStopTime(time.Now().Add(500 * time.Millisecond))
			if got := h.serve(name); got.err != nil {
				t.Errorf("a request that ends in time: %v", got.err)
			}
		})
	}
}

// TestDurationOfShortStreamsDoesNotCount guards against an estimate for long streams from the
// time per token of short ones, most of which is the time until their first event.
func TestDurationOfShortStreamsDoesNotCount(t *testing.T) {
	var d durations
	for range similarSamples {
		d.record("model", 10, time.Second)
		d.record("model", 1000, 10*time.Second)
	}
	for output, want := range map[ident.Tokens]time.Duration{10: time.Second, 1000: 10 * time.Second, 1100: 11 * time.Second} {
		if got := d.estimate("model", output, time.Now()); got != want {
			t.Errorf("%d tokens: %v, want %v", output, got, want)
		}
	}
	if got := d.estimate("other", 10, time.Now()); got != 0 {
		t.Errorf("a service without requests: %v", got)
	}
}

// TestDurationsAreBounded guards against durations that are kept without limit, and against
// old ones that count for good.
func TestDurationsAreBounded(t *testing.T) {
	var d durations
	for range 3 * durationSamples {
		d.record("model", 10, time.Minute)
	}
	for range durationSamples {
		d.record("model", 10, time.Second)
	}
	if got := d.estimate("model", 10, time.Now()); got != time.Second {
		t.Errorf("%v, want %v", got, time.Second)
	}
	if n := len(d.services["model"].ended); n != durationSamples {
		t.Errorf("%d durations are kept", n)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	h := newHarness(t)
	_ = h.serveContext(ctx, "once")
	if n := len(h.router.durations.service("plain").running); n != 0 {
		t.Errorf("%d requests count as running", n)
	}
}

// TestRetryAfterOfTheOnlyInstance guards against callers whose few retries all reach the
// stopping instance again, since it is the only one of its failure domain and the load
// balancer has not noticed the stop.
func TestRetryAfterOfTheOnlyInstance(t *testing.T) {
	const balancerDelay = time.Second
	h := newHarness(t)
	h.router.SetStopTime(time.Now())
	for _, c := range []struct {
		name     string
		alone    bool
		noticed  bool
		wantLate bool
	}{
		{"others in the domain", false, false, false},
		{"alone", true, false, true},
		{"alone, and the balancer has noticed", true, true, false},
	} {
		h.router.AloneInDomain = func() bool { return c.alone }
		end := time.Now().Add(balancerDelay)
		if c.noticed {
			end = time.Now()
		}
		h.router.SetBalancerEnd(end)
		for _, stopped := range []bool{false, true} {
			h.router.stopping.Store(stopped)
			wait := time.Until(fault.From(h.serve("once").err).RetryAfter)
			if late := wait > balancerDelay/2; late != c.wantLate {
				t.Errorf("%s, refusing everything %v: Retry-After %v", c.name, stopped, wait)
			}
		}
	}
}
