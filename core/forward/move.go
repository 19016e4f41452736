package forward

import (
	"context"

	"github.com/go-kit/log/level"

	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Move is a call to an engine that copies the memory of a run to another engine.
type Move struct {
	Request ident.RequestID
	To      ident.Address
	Last    bool // The run stops before the copy is made; otherwise it continues.
}

// MoveReply is an engine's answer to a Move.
type MoveReply struct {
	Handle string // Identifies the memory at the engine; may be empty.
	Copied bool   // The copy is complete.
}

// movedRun is a run that has stopped at its engine to be continued at another one.
type movedRun struct {
	source      *engines.Engine
	destination *engines.Engine // Nil if the copy is not complete.
	handle      string
	end         func() // Removes the run from the load of the destination.
}

// continueMoved continues a run that was stopped for a move. It returns err, with which the call
// to the source has ended, if nothing was moved or no engine takes the run. The source takes it
// back if the destination has no copy.
func (s *stream) continueMoved(ctx context.Context, err error) error {
	m := s.moved
	if m == nil {
		return err
	}
	s.moved = nil
	defer m.end()
	for _, e := range []*engines.Engine{m.destination, m.source} {
		if e == nil {
			continue
		}
		if !s.mayContinueMoved(ctx, err) {
			break
		}
		next := s.sendMoved(ctx, m, e)
		if next == nil || fault.From(next).Ran != fault.NotRun {
			return next
		}
	}
	s.router.Calls.ReleaseHandle(m.source.Entry, m.handle)
	return err
}

// mayContinueMoved reports whether a moved run is to continue. A part of the retry budget is kept for
// a permitted continuation until it is sent; the run has stopped, so that it does not depend on
// what is left.
func (s *stream) mayContinueMoved(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil || s.replacement != nil {
		return false
	}
	if !s.holdsExtraCall {
		s.router.holdExtraCallAnyway(s.service.Name)
		s.holdsExtraCall = true
	}
	return true
}

// sendMoved sends the request to the destination of a move, or back to its source. It is the same
// run: it needs no permission to run again.
func (s *stream) sendMoved(ctx context.Context, m *movedRun, e *engines.Engine) error {
	_ = level.Info(s.log).Log("msg", event.ContinuingMovedRun, "from", m.source.ID, "engine", e.ID, "event", s.splitter.lastID)
	return s.sendContinuation(ctx, e, Source{Address: m.source.Address, Handle: m.handle})
}

// discardMove frees the memory of a run that was stopped for a move and is not continued.
func (s *stream) discardMove() {
	if s.moved == nil {
		return
	}
	s.router.Calls.ReleaseHandle(s.moved.source.Entry, s.moved.handle)
	s.moved.end()
	s.moved = nil
}
