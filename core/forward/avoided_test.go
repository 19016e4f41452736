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

// TestCallerGoneBeforeTheStart has the caller leave before its request is looked at:
// it takes nothing of its organisation's rate, and no engine hears of it.
func TestCallerGoneBeforeTheStart(t *testing.T) {
	for _, name := range []string{"safe", "once", "stream"} {
		r := newRig(t)
		r.router.Admit = func(*catalog.Organisation, ident.Tokens) Share {
			t.Errorf("%s: asked for a share", name)
			return Share{Granted: true, Refund: func() {}}
		}
		ctx, cancel := context.WithCancelCause(context.Background())
		cancel(fault.New(fault.CallerGone, "gone"))
		got := r.serveContext(ctx, name)
		if f := fault.From(got.err); f.Kind != fault.CallerGone || f.Ran != fault.NotRun || len(r.sent) != 0 {
			t.Errorf("%s: %v, ran %v, %d calls", name, got.err, f.Ran, len(r.sent))
		}
	}
}

// TestStreamsThatWouldBeCut has a planned stop that ends before a long stream would.
func TestStreamsThatWouldBeCut(t *testing.T) {
	r := newRig(t)
	r.send = func(_ int, c Call, sink Sink) error {
		time.Sleep(time.Duration(c.Request.MaxOutput) * time.Millisecond)
		return answer(sink, 200, "id: 1\ndata: a\n\n")
	}
	stream := func(output ident.Tokens) *reply {
		return r.serveRequest(context.Background(), "stream", func(q *Request) { q.MaxOutput = output })
	}
	if got := stream(100); got.err != nil {
		t.Fatal(got.err)
	}
	r.router.EndBy(time.Now().Add(400 * time.Millisecond))
	if got := stream(800); !fault.Is(got.err, fault.ShuttingDown) || fault.From(got.err).Ran != fault.NotRun || got.status != 0 {
		t.Errorf("a long stream: %v, status %d", got.err, got.status)
	}
	if got := stream(20); got.err != nil {
		t.Errorf("a short stream: %v", got.err)
	}
	if got := r.serve("once"); got.err != nil {
		t.Errorf("a plain call: %v", got.err)
	}
}

// TestEngineThatChangesItsStage has an engine that is about to change its stage. It
// still grants room, and refuses what is sent then.
func TestEngineThatChangesItsStage(t *testing.T) {
	r := newRig(t)
	r.send = func(_ int, c Call, sink Sink) error {
		if c.Engine.ID == "d1" {
			return errRefused
		}
		return answer(sink, 200, "id: 1\ndata: a\n\n")
	}
	r.table.Spare("d1", engines.Prefill, time.Now().Add(time.Second))
	r.table.Spare("f1", engines.Decode, time.Now().Add(time.Second))
	r.prefill = func(int, Call) (string, error) { return "handle", nil }
	for range 20 {
		if got := r.serve("stream"); got.err != nil {
			t.Fatal(got.err)
		}
	}
	for _, c := range r.sent {
		if c.Engine.ID != "d2" || c.Source.Address != "f2" {
			t.Fatalf("a stream was sent to %s with a prompt of %s", c.Engine.ID, c.Source.Address)
		}
	}
	r.table.Apply([]engines.Change{{Entry: engines.Entry{
		ID: "f1", Service: "model", Stage: engines.Decode, Domain: "a", Slots: 4, AsOf: 2, Address: "f1",
	}}})
	if e := r.table.Of("model")[2]; e.ID != "f1" || e.IsSpared(time.Now()) {
		t.Errorf("%s is spared after the change", e.ID)
	}
}

// TestPromptsThatCannotBeFetched has the emptiest decode engine refuse every stream
// whose prompt it would have to fetch. It grants room all the same, and each try costs
// a prompt that was read for nothing.
func TestPromptsThatCannotBeFetched(t *testing.T) {
	r := newRig(t)
	for _, e := range r.table.Of("model") {
		if e.ID == "d2" {
			defer e.Begin(9000)()
		}
	}
	tries := map[ident.EndpointID]int{}
	r.send = func(_ int, c Call, sink Sink) error {
		tries[c.Engine.ID]++
		if c.Engine.ID == "d1" && c.Source.Handle != "" {
			return errRefused
		}
		return answer(sink, 200, "id: 1\ndata: a\n\n")
	}
	for range 10 {
		if got := r.serve("stream"); got.err != nil {
			t.Fatal(got.err)
		}
	}
	if tries["d1"] > 2 {
		t.Errorf("%d streams were sent to an engine that can't fetch prompts, %d to the other", tries["d1"], tries["d2"])
	}
	for _, e := range r.table.Of("model") {
		if d := e.Doubt(time.Now()); d > 0.1 {
			t.Errorf("%s is doubted: %v", e.ID, d)
		}
	}
}
