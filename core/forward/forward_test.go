package forward

import (
	"context"
	"testing"
	"time"

	"monsoonfork/core/catalog"
	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// TestOnceIsNotRepeated has the first engine fail after it may have run a call.
func TestOnceIsNotRepeated(t *testing.T) {
	r := newRig(t)
	r.send = func(int, Call, Sink) error { return errBroken }
	got := r.serve("once")
	if len(r.sent) != 1 || fault.From(got.err).Ran != fault.MayHaveRun {
		t.Errorf("%d calls, error %v; want one call of unknown outcome", len(r.sent), got.err)
	}
	if r.refunds != 0 {
		t.Error("tokens of a call that may have run were given back")
	}
}

// TestOnceMovesAfterRefusals has engines say that they did not run it.
func TestOnceMovesAfterRefusals(t *testing.T) {
	for _, err := range []error{errRefused, errNoRoad} {
		r := newRig(t)
		r.send = func(n int, _ Call, sink Sink) error {
			if n == 1 {
				return err
			}
			return answer(sink, 200, "done")
		}
		got := r.serve("once")
		if got.err != nil || got.body.String() != "done" || len(r.sent) != 2 || r.sent[0].Engine.ID == r.sent[1].Engine.ID {
			t.Errorf("after %v: %v, %q, %d calls", err, got.err, got.body.String(), len(r.sent))
		}
	}
}

// TestRefusedByAllIsNotRun wants a true refusal, with the tokens given back.
func TestRefusedByAllIsNotRun(t *testing.T) {
	r := newRig(t)
	r.send = func(int, Call, Sink) error { return errRefused }
	got := r.serve("once")
	f := fault.From(got.err)
	if f.Kind != fault.NoEndpoint || f.Ran != fault.NotRun || f.RetryAfter.IsZero() || r.refunds != 1 {
		t.Errorf("got %v, ran %v, refunds %d", got.err, f.Ran, r.refunds)
	}
}

// TestSafeIsRepeated has the first engine fail in several ways.
func TestSafeIsRepeated(t *testing.T) {
	for name, first := range map[string]func(Sink) error{
		"cut":    func(s Sink) error { _ = answer(s, 200, "half"); return errBroken },
		"status": func(s Sink) error { return answer(s, 500, "no") },
		"full":   func(Sink) error { return errRefused },
	} {
		r := newRig(t)
		r.send = func(n int, _ Call, sink Sink) error {
			if n == 1 {
				return first(sink)
			}
			return answer(sink, 200, "done")
		}
		if got := r.serve("safe"); got.err != nil || got.body.String() != "done" {
			t.Errorf("%s: %v, %q", name, got.err, got.body.String())
		}
	}
}

// TestFailureOfAllIsPassedOn wants the engine's own failure, not another one.
func TestFailureOfAllIsPassedOn(t *testing.T) {
	r := newRig(t)
	r.send = func(_ int, _ Call, sink Sink) error { return answer(sink, 500, "no") }
	if got := r.serve("safe"); got.err != nil || got.status != 500 || len(r.sent) != 2 {
		t.Errorf("%v, status %d, %d calls; want 500 after two", got.err, got.status, len(r.sent))
	}
}

// TestSlowSafeCallIsHedged has the first engine say nothing.
func TestSlowSafeCallIsHedged(t *testing.T) {
	r := newRig(t)
	r.send = func(n int, _ Call, sink Sink) error {
		if n == 1 {
			time.Sleep(time.Hour)
		}
		return answer(sink, 200, "done")
	}
	started := time.Now()
	got := r.serve("safe")
	if took := time.Since(started); got.err != nil || took > 300*time.Millisecond {
		t.Errorf("%v after %v, want an answer within the objective", got.err, took)
	}
}

// TestAnswerAtTheTimeout wants an answer when the route's time has passed.
func TestAnswerAtTheTimeout(t *testing.T) {
	r := newRig(t)
	r.send = func(int, Call, Sink) error { time.Sleep(time.Hour); return nil }
	started := time.Now()
	got := r.serve("once")
	if took := time.Since(started); !fault.Is(got.err, fault.DeadlineExceeded) || fault.From(got.err).Ran != fault.MayHaveRun || took > 1200*time.Millisecond {
		t.Errorf("%v after %v", got.err, took)
	}
}

// TestBudgetOfRepeats has all engines fail all calls.
func TestBudgetOfRepeats(t *testing.T) {
	r := newRig(t)
	r.send = func(int, Call, Sink) error { return errBroken }
	const requests = 400
	for range requests {
		r.serve("safe")
	}
	repeats := len(r.sent) - requests
	if allowed := 0.2*requests + 50; float64(repeats) > allowed {
		t.Errorf("%d calls beyond the first, %v allowed", repeats, allowed)
	}
	if repeats < 50 {
		t.Errorf("only %d calls beyond the first", repeats)
	}
}

// TestRefusalsBeforeEngines refuses what needs no engine.
func TestRefusalsBeforeEngines(t *testing.T) {
	r := newRig(t)
	if got := r.serve("nowhere"); !fault.Is(got.err, fault.UnknownRoute) {
		t.Errorf("unknown route: %v", got.err)
	}
	r.router.Admit = func(*catalog.Organisation, ident.Tokens) Share { return Share{RetryAt: time.Now()} }
	if got := r.serve("once"); !fault.Is(got.err, fault.RateExceeded) || fault.From(got.err).Ran != fault.NotRun {
		t.Errorf("above the rate: %v", got.err)
	}
	r.router.Stop()
	if got := r.serve("once"); !fault.Is(got.err, fault.ShuttingDown) {
		t.Errorf("stopping: %v", got.err)
	}
	r.router = New("a", r.router.log, nil, time.Now, Tuning{})
	r.router.Catalog = func() *catalog.Catalog { return nil }
	if got := r.serve("once"); !fault.Is(got.err, fault.StoreUnavailable) || fault.From(got.err).Ran != fault.NotRun {
		t.Errorf("without a configuration: %v", got.err)
	}
}

// TestStreamTakesRoomFirst wants room, then the prompt, then the stream.
func TestStreamTakesRoomFirst(t *testing.T) {
	r := newRig(t)
	r.send = func(_ int, c Call, sink Sink) error {
		if c.Reservation != "room" || c.Source.Handle != "handle" || c.Engine.Stage != engines.Decode {
			t.Errorf("call %+v", c)
		}
		return answer(sink, 200, "id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\n")
	}
	if got := r.serve("stream"); got.err != nil || got.body.String() != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Errorf("%v, %q", got.err, got.body.String())
	}
}

// TestStreamGoesOn cuts a stream in the middle of its second event.
func TestStreamGoesOn(t *testing.T) {
	r := newRig(t)
	r.send = func(n int, c Call, sink Sink) error {
		if n == 1 {
			_ = answer(sink, 200, "id: 1\ndata: a\n\nid: 2\nda")
			return errBroken
		}
		if c.LastEvent != "1" {
			t.Errorf("goes on after event %q, want 1", c.LastEvent)
		}
		return answer(sink, 200, "id: 2\ndata: b\n\n")
	}
	got := r.serve("resume")
	if got.err != nil || got.cut || got.body.String() != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Errorf("%v, cut %v, %q", got.err, got.cut, got.body.String())
	}
	if len(r.sent) == 2 && r.sent[0].Engine.ID == r.sent[1].Engine.ID {
		t.Error("goes on at the engine that failed")
	}
}

// TestStreamThatMayRunOnceIsCut wants an answer that does not look whole.
func TestStreamThatMayRunOnceIsCut(t *testing.T) {
	r := newRig(t)
	r.send = func(_ int, _ Call, sink Sink) error {
		_ = answer(sink, 200, "id: 1\ndata: a\n\n")
		return errBroken
	}
	if got := r.serve("stream"); !got.cut || len(r.sent) != 1 {
		t.Errorf("cut %v after %d calls", got.cut, len(r.sent))
	}
}

// TestNoRoomIsRefused has no engine with room.
func TestNoRoomIsRefused(t *testing.T) {
	r := newRig(t)
	r.reserve = func(engines.Entry) (string, error) { return "", errRefused }
	got := r.serve("stream")
	if f := fault.From(got.err); f.Kind != fault.Overloaded || f.Ran != fault.NotRun || r.refunds != 1 || len(r.sent) != 0 {
		t.Errorf("%v, refunds %d, %d calls", got.err, r.refunds, len(r.sent))
	}
}

// TestRefusedBeforeTheCallerLeaves has no room for a caller with plenty of time. It is
// told within a few objectives, when it can still come again.
func TestRefusedBeforeTheCallerLeaves(t *testing.T) {
	r := newRig(t)
	r.reserve = func(engines.Entry) (string, error) { return "", fault.New(fault.EndpointRefused, "full") }
	route, _ := r.router.Catalog().Route("h", "/stream/x")
	route.TimeoutMS = 14_000
	started := time.Now()
	got := r.serve("stream")
	took := time.Since(started)
	objective := 300 * time.Millisecond
	if took < objective || took > 3*objective {
		t.Errorf("refused after %v, with an objective of %v", took, objective)
	}
	if f := fault.From(got.err); f.Kind != fault.Overloaded || f.Ran != fault.NotRun || f.RetryAfter.IsZero() {
		t.Errorf("refused with %v", got.err)
	}
}

// TestPrefillMovesOn has one prefill engine refuse, as it changes its stage: the other
// one reads the prompt, and the one that refused is not asked at once again.
func TestPrefillMovesOn(t *testing.T) {
	r := newRig(t)
	var asked []ident.EndpointID
	r.prefill = func(n int, c Call) (string, error) {
		asked = append(asked, c.Engine.ID)
		if n == 1 {
			return "", errRefused
		}
		return "handle", nil
	}
	r.send = func(_ int, _ Call, sink Sink) error { return answer(sink, 200, "id: 1\n\n") }
	for range 2 {
		if got := r.serve("stream"); got.err != nil {
			t.Fatal(got.err)
		}
	}
	if len(asked) != 3 || asked[0] == asked[1] || asked[2] == asked[0] {
		t.Errorf("asked %v", asked)
	}
	for _, c := range r.sent {
		if c.Source.Handle == "" {
			t.Error("the decode engine read a prompt itself")
		}
	}
}

// TestDecodeReadsWithoutPrefill has no prefill engine that works.
func TestDecodeReadsWithoutPrefill(t *testing.T) {
	r := newRig(t)
	r.prefill = func(int, Call) (string, error) { return "", errNoRoad }
	r.send = func(_ int, c Call, sink Sink) error {
		if c.Source.Handle != "" {
			t.Errorf("source %v", c.Source)
		}
		return answer(sink, 200, "id: 1\ndata: a\n\n")
	}
	if got := r.serve("stream"); got.err != nil {
		t.Error(got.err)
	}
}

// TestLeavingEngineGetsNothing has the decode engine leave while the prompt is
// read.
func TestLeavingEngineGetsNothing(t *testing.T) {
	r := newRig(t)
	var reserved []ident.EndpointID
	r.reserve = func(e engines.Entry) (string, error) {
		reserved = append(reserved, e.ID)
		return "room", nil
	}
	r.prefill = func(n int, _ Call) (string, error) {
		if n == 1 {
			e := engines.Entry{ID: reserved[0], Service: "model", Stage: engines.Decode, Domain: "a", Slots: 4, AsOf: 2, State: engines.Leaving, Address: ident.Address(reserved[0])}
			r.table.Apply([]engines.Change{{Entry: e}})
		}
		return "handle", nil
	}
	r.send = func(_ int, c Call, sink Sink) error {
		if c.Engine.ID == reserved[0] {
			t.Error("an engine that leaves got a request")
		}
		return answer(sink, 200, "id: 1\ndata: a\n\n")
	}
	if got := r.serve("stream"); got.err != nil {
		t.Error(got.err)
	}
	if len(r.released) == 0 || len(r.freed) == 0 {
		t.Errorf("released %v, freed %v; want both given back", r.released, r.freed)
	}
}

// TestCallerGoneFreesRoom has the caller leave while its prompt is read.
func TestCallerGoneFreesRoom(t *testing.T) {
	r := newRig(t)
	ctx, cancel := context.WithCancelCause(context.Background())
	r.prefill = func(int, Call) (string, error) {
		cancel(fault.New(fault.CallerGone, "gone"))
		return "", fault.New(fault.CallerGone, "gone")
	}
	if got := r.serveContext(ctx, "stream"); !fault.Is(got.err, fault.CallerGone) || len(r.released) != 1 || len(r.sent) != 0 {
		t.Errorf("%v, released %v, %d calls", got.err, r.released, len(r.sent))
	}
}

// TestWhoAsksForRoomFirst orders those that wait.
func TestWhoAsksForRoomFirst(t *testing.T) {
	now := time.Now()
	var w waiting
	dear, late := &turn{order: 100, onTimeUntil: now.Add(time.Second)}, &turn{order: 1, onTimeUntil: now}
	l := w.join("s", dear)
	w.join("s", late)
	for i := range askersAtOnce {
		w.join("s", &turn{order: float64(i), onTimeUntil: now.Add(time.Second)})
	}
	if l.mayAsk(dear, now) {
		t.Error("the most costly request asks before cheaper ones")
	}
	if l.mayAsk(late, now) {
		t.Error("a late request asks before those in time")
	}
}

// TestLargeAnswerIsPassedOn has an answer that is too large to be held, while a
// second call is under way.
func TestLargeAnswerIsPassedOn(t *testing.T) {
	for _, broken := range []bool{false, true} {
		r := newRig(t)
		piece := string(make([]byte, heldBytes/2))
		r.send = func(n int, _ Call, sink Sink) error {
			if n == 2 {
				time.Sleep(300 * time.Millisecond)
				return answer(sink, 200, "small")
			}
			time.Sleep(200 * time.Millisecond)
			if err := answer(sink, 200, piece, piece, piece); err != nil {
				return err
			}
			if broken {
				return errBroken
			}
			return nil
		}
		got := r.serve("safe")
		if got.body.Len() != 3*len(piece) || got.err != nil || got.cut != broken {
			t.Errorf("broken %v: %d bytes, %v, cut %v", broken, got.body.Len(), got.err, got.cut)
		}
	}
}

// TestInstancesSpreadTheirPrefills has the first request of many instances, to
// which all prefill engines look alike.
func TestInstancesSpreadTheirPrefills(t *testing.T) {
	const instances = 40
	read := make(map[ident.Address]int)
	for range instances {
		r := newRig(t)
		r.send = func(_ int, _ Call, sink Sink) error { return answer(sink, 200, "id: 1\n\n") }
		calls := r.router.Calls
		calls.Prefill = func(_ context.Context, c Call) (string, error) {
			read[c.Engine.Address]++
			return "handle", nil
		}
		r.router.Calls = calls
		if got := r.serve("stream"); got.err != nil {
			t.Fatal(got.err)
		}
	}
	for _, e := range []ident.Address{"f1", "f2"} {
		if read[e] < instances/5 {
			t.Errorf("%s read %d of %d prompts", e, read[e], instances)
		}
	}
}
