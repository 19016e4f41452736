package forward

import (
	"context"
	"slices"
	"testing"
	"time"

	"monsoonfork/core/catalog"
	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
)

// moveHarness is a harness whose engines move runs. The first engine sends two events and leaves
// or changes its stage. It sends the others after 600 ms, unless it is ordered to stop the run.
type moveHarness struct {
	*harness
	source  *engines.Engine // The engine of the first call.
	stopped chan struct{}   // Closed when the run has stopped.
	moves   []Move
}

// newMoveHarness returns a harness whose engines end 400 ms after they have announced it. answer
// gives their answers to moves, and refuses says which calls to continue the run they refuse.
func newMoveHarness(t testing.TB, answer func(m Move) (MoveReply, error), refuses func(h *moveHarness, c Call) bool) *moveHarness {
	t.Helper()
	h := &moveHarness{harness: newBackupHarness(t), stopped: make(chan struct{})}
	service, _ := h.router.Catalog().Service("model")
	service.Model.Backups, service.Model.Moves = false, true
	h.router.DrainTime = 400 * time.Millisecond
	h.move = func(_ engines.Entry, m Move) (MoveReply, error) {
		h.moves = append(h.moves, m)
		reply, err := answer(m)
		if m.Last && err == nil {
			close(h.stopped)
		}
		return reply, err
	}
	h.send = func(n int, c Call, sink Sink) error {
		switch {
		case n == 1:
			return h.sendUntilStopped(c, sink)
		case refuses != nil && refuses(h, c):
			return errNoCopy
		}
		return sendStream(c, sink, -1, 0)
	}
	return h
}

// sendUntilStopped sends two events, and the rest unless the run is stopped.
func (h *moveHarness) sendUntilStopped(c Call, sink Sink) error {
	if err := sendAnswer(sink, 200, eventText(1), eventText(2)); err != nil {
		return err
	}
	all := h.table.All()
	h.source = all[slices.IndexFunc(all, func(e *engines.Engine) bool { return e.ID == c.Engine.ID })]
	h.source.MarkLeaving()
	select {
	case <-h.stopped:
		return errBroken
	case <-time.After(600 * time.Millisecond):
	}
	return sink.OnData([]byte(eventText(3) + eventText(4)))
}

// complete answers each move with a complete copy.
func complete(Move) (MoveReply, error) { return MoveReply{"moved", true}, nil }

// failing returns answers that fail in the first or the last step of a move.
func failing(last bool, err error) func(Move) (MoveReply, error) {
	return func(m Move) (MoveReply, error) {
		if m.Last == last {
			return MoveReply{}, err
		}
		return complete(m)
	}
}

// TestStreamOnEngineThatLeaves guards against streams that end with their engine, against those that
// are lost as a step of their move fails, and against moves without need. The route allows one
// engine and no resuming.
func TestStreamOnEngineThatLeaves(t *testing.T) {
	t.Parallel()
	errNoAnswer := fault.New(fault.EndpointTimeout, "no answer")
	atDestination := func(h *moveHarness, c Call) bool { return c.Engine.ID != h.source.ID }
	for name, c := range map[string]struct {
		answer  func(m Move) (MoveReply, error)
		refuses func(h *moveHarness, c Call) bool
		prepare func(h *moveHarness)
		calls   int
		where   string // Where the run ends.
	}{
		"moved":      {answer: complete, calls: 2, where: "destination"},
		"rest fails": {answer: func(m Move) (MoveReply, error) { return MoveReply{"moved", !m.Last}, nil }, calls: 2, where: "source"},
		"refused":    {answer: complete, refuses: atDestination, calls: 3, where: "source"},
		"refused, backup": {
			answer: complete, refuses: func(_ *moveHarness, c Call) bool { return c.Source.Handle == "moved" },
			prepare: func(h *moveHarness) { h.model().Backups = true }, calls: 4, where: "backup",
		},
		"slow stop, backup": {
			answer: func(m Move) (MoveReply, error) {
				time.Sleep(map[bool]time.Duration{true: 350 * time.Millisecond}[m.Last])
				return complete(m)
			},
			prepare: func(h *moveHarness) { h.model().Backups = true }, calls: 2, where: "destination",
		},
		"no room":        {answer: failing(false, errRefused), calls: 1, where: "source"},
		"no such run":    {answer: failing(false, fault.New(fault.NotFound, "no such run")), calls: 1, where: "source"},
		"no answer":      {answer: failing(false, errNoAnswer), calls: 1, where: "source"},
		"no last answer": {answer: failing(true, errNoAnswer), calls: 1, where: "source"},
		"ends before":    {answer: complete, prepare: func(h *moveHarness) { h.router.DrainTime = time.Minute }, calls: 1, where: "source"},
		"not configured": {answer: complete, prepare: func(h *moveHarness) { h.model().Moves = false }, calls: 1, where: "source"},
		"no budget": {answer: complete, prepare: func(h *moveHarness) {
			h.router.retrySettings = RetryBudgetSettings{RetryWindow: time.Minute}
		}, calls: 1, where: "source"},
	} {
		h := newMoveHarness(t, c.answer, c.refuses)
		if c.prepare != nil {
			c.prepare(h)
		}
		checkComplete(t, h.serve("stream"))
		h.checkLoads(name)
		last := h.sent[len(h.sent)-1]
		where := map[bool]string{true: "source", false: "destination"}[last.Engine.ID == h.source.ID]
		if last.Source.Handle == "id" {
			where = "backup"
		}
		if len(h.sent) != c.calls || where != c.where {
			t.Errorf("%s: %d calls, the last to the %s; want %d and the %s", name, len(h.sent), where, c.calls, c.where)
		}
		if where == "destination" {
			h.checkMoved(name, last)
		}
	}
}

// model returns the pool of the service of the streams.
func (h *moveHarness) model() *catalog.ModelPool {
	service, _ := h.router.Catalog().Service("model")
	return service.Model
}

// checkMoved checks the calls of a move, and that the source does not count as failing.
func (h *moveHarness) checkMoved(name string, last Call) {
	h.t.Helper()
	want := []Move{{Request: "id", To: last.Engine.Address}, {Request: "id", To: last.Engine.Address, Last: true}}
	if !slices.Equal(h.moves, want) || (last.Source != Source{h.source.Address, "moved"}) || last.LastEventID != "2" || last.Reservation != "" {
		h.t.Errorf("%s: moves %v, continued with source %v after event %q, reservation %q; want moves %v", name, h.moves, last.Source, last.LastEventID, last.Reservation, want)
	}
	if rate := h.source.FailureRate(time.Now()); rate != 0 || len(h.freed) != 0 {
		h.t.Errorf("%s: the source has failure rate %v, freed %v", name, rate, h.freed)
	}
}

// TestUnusedMoveIsFreed guards against copies that keep memory and a slot at two engines after the
// caller has left, before the run has stopped or after.
func TestUnusedMoveIsFreed(t *testing.T) {
	t.Parallel()
	for _, last := range []bool{false, true} {
		ctx, cancel := context.WithCancel(context.Background())
		h := newMoveHarness(t, func(m Move) (MoveReply, error) {
			if m.Last == last {
				cancel()
				time.Sleep(50 * time.Millisecond)
			}
			return complete(m)
		}, nil)
		h.serveContext(ctx, "stream")
		if !slices.Contains(h.freed, "moved") {
			t.Errorf("freed %v, want the moved run", h.freed)
		}
		h.checkLoads("caller left")
	}
}

// TestMoveNeed guards against streams that stay since only a change of stage is near, moves to
// engines without room or to which the transfer takes too long, and a late stream being taken for
// one that is about to end at any time.
func TestMoveNeed(t *testing.T) {
	now := time.Now()
	e, other := newDecodeEngine(t, "e", "a", "1.0.0.2:80"), newDecodeEngine(t, "other", "b", "2.0.0.1:80")
	need := newNeed(t) // A transfer of 100 ms in the domain.
	n := moveNeed{source: need.first, model: need.model, size: need.size, sourceBy: now.Add(150 * time.Millisecond)}
	_, near := n.rank(e, now)
	_, far := n.rank(other, now)
	n.sourceBy = now.Add(-time.Second)
	_, late := n.rank(e, now)
	e.BeginRequest(39_000)
	if _, full := n.rank(e, now); !near || far || !late || full {
		t.Errorf("possible moves: of 100 ms in 150 ms %v, of 200 ms %v, from a source that serves on %v, without room %v", near, far, late, full)
	}
	w := moveWatch{source: need.first, stream: &stream{job: &job{router: &Router{}}}}
	need.first.MarkStageChange(engines.Prefill, now.Add(time.Minute))
	w.updateEnd(now)
	if !w.endsAt.Equal(now.Add(stageChangeLead)) {
		t.Errorf("source serves until %v at a change of stage", w.endsAt)
	}
	received := now.Add(-4 * time.Second)
	if got := expectedEnd(received, now.Add(time.Hour), now, 2*time.Second).Sub(now); got != 400*time.Millisecond {
		t.Errorf("a stream that has taken 4 s in place of 2 s ends in %v", got)
	}
}
