package forward

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/catalog"
	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/sleep"
)

const (
	// moveInterval is the time between two looks whether a stream has to be moved.
	moveInterval = 100 * time.Millisecond
	// maxMoveAttempts limits the destinations of one call that are tried.
	maxMoveAttempts = 3
	// moveFactor and moveSlack give the time limit of a move: the estimated time of the transfer,
	// multiplied by the factor, plus the slack.
	moveFactor = 2.0
	moveSlack  = 500 * time.Millisecond
	// moveRefusalPause is how long a destination is not tried again after it had no room.
	moveRefusalPause = 500 * time.Millisecond
)

// moveWatch moves the run of a call to another engine if its engine leaves, or is about to change
// its stage, before the expected end of the stream. The run continues while its memory is copied,
// and stops only for the rest.
type moveWatch struct {
	stream  *stream
	source  *engines.Engine
	stop    context.CancelFunc
	running sync.WaitGroup

	endsAt   time.Time // Until when the source serves its streams at least; zero while it stays.
	attempts int

	mu       sync.Mutex
	ended    bool // The call has ended: the run is not stopped any more.
	stopping bool // The engine has been ordered to stop the run.

	moved *movedRun // Set if the run has stopped.
}

// watchMoves starts the watch of a call to an engine.
func (s *stream) watchMoves(ctx context.Context, source *engines.Engine) *moveWatch {
	w := &moveWatch{stream: s, source: source}
	ctx, w.stop = context.WithCancel(ctx)
	if s.service.Model.Moves && s.route.Kind == catalog.Stream && s.mayTryAgain() {
		w.running.Go(func() {
			_ = s.boundary().Run("move watch", func() { w.run(ctx) }) // A panic is logged; the run stays where it is.
		})
	}
	return w
}

// endMoves ends the watch of a call that has ended with err, and waits for it. If the engine has
// been ordered to stop the run, its answer tells where the run continues.
func (s *stream) endMoves(ctx context.Context, w *moveWatch, err error) {
	w.mu.Lock()
	w.ended = true
	waits := w.stopping && err != nil && ctx.Err() == nil
	w.mu.Unlock()
	if !waits {
		w.stop()
	}
	w.running.Wait()
	w.stop()
	if s.moved = w.moved; s.moved != nil {
		s.takeOverExtraCall()
	}
}

// isStopping reports whether the engine has been ordered to stop the run.
func (w *moveWatch) isStopping() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopping
}

// run looks at the engine until the call ends or the run has stopped.
func (w *moveWatch) run(ctx context.Context) {
	for ctx.Err() == nil && w.moved == nil && w.attempts < maxMoveAttempts && !w.hasEnded() {
		now := w.stream.router.now()
		w.updateEnd(now)
		if need := w.need(now); !w.endsAt.IsZero() && need.isNeeded() {
			w.tryMove(ctx, need)
		}
		sleep.For(ctx, moveInterval)
	}
}

// updateEnd sets until when the source serves its streams, when it is first seen to leave or to be
// about to change its stage.
func (w *moveWatch) updateEnd(now time.Time) {
	switch {
	case w.source.Leaves():
		if w.endsAt.IsZero() {
			w.endsAt = now.Add(w.stream.router.DrainTime)
		}
	case w.source.IsChangingStage(now):
		if w.endsAt.IsZero() {
			w.endsAt = now.Add(stageChangeLead)
		}
	default:
		w.endsAt = time.Time{}
	}
}

// need returns what decides about a move now.
func (w *moveWatch) need(now time.Time) moveNeed {
	s := w.stream
	estimate := s.router.durations.estimate(s.service.Name, s.expectedOutput(), now)
	return moveNeed{
		source:   w.source,
		model:    s.service.Model,
		size:     s.reservationSize(),
		end:      expectedEnd(s.Received, s.deadline, now, estimate),
		sourceBy: w.endsAt,
	}
}

// tryMove moves the run to the best destination. If the copy fails, the run stays where it is.
func (w *moveWatch) tryMove(ctx context.Context, need moveNeed) {
	s := w.stream
	now := s.router.now()
	candidates := s.rank(func(e *engines.Engine) (float64, bool) { return need.rank(e, now) })
	if len(candidates) == 0 || !s.router.holdExtraCall(s.service.Name) {
		return
	}
	defer func() {
		if w.moved == nil {
			s.router.returnExtraCall(s.service.Name)
		}
	}()
	to := candidates[0]
	end := to.BeginRequest(need.size)
	defer func() {
		if w.moved == nil {
			end()
		}
	}()
	s.router.counters.moves.Inc(1)
	copied, err := w.call(ctx, need, to, false)
	if err == nil {
		err = w.stopRun(ctx, need, to, copied, end)
	}
	if ctx.Err() == nil {
		w.recordAttempt(need, to, err)
	}
}

// stopRun has the engine stop the run and copy the rest of its memory, after a first copy. The
// copy is freed if the call has ended meanwhile.
func (w *moveWatch) stopRun(ctx context.Context, need moveNeed, to *engines.Engine, copied MoveReply, end func()) error {
	if !w.beginStop() {
		w.release(copied)
		return fault.New(fault.NotFound, "the run has ended")
	}
	s := w.stream
	reply, err := w.call(ctx, need, to, true)
	if err != nil {
		w.cancelStop()
		w.release(copied)
		return err
	}
	m := &movedRun{source: w.source, destination: to, handle: reply.Handle, end: end}
	w.moved = m
	if !reply.Copied {
		m.destination = nil
		return fault.New(fault.EndpointRefused, "the copy of the rest failed; the source takes the run back")
	}
	s.router.counters.movedRuns.Inc(1)
	return nil
}

// call makes one call for a move within its time limit.
func (w *moveWatch) call(ctx context.Context, need moveNeed, to *engines.Engine, last bool) (MoveReply, error) {
	s := w.stream
	limit := time.Duration(moveFactor*float64(need.transferTime(to))) + moveSlack
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return s.router.Calls.Move(ctx, w.source.Entry, Move{Request: s.ID, To: to.Address, Last: last}, s.router.now().Add(connectTimeout))
}

// beginStop records that the engine is about to be ordered to stop the run. It returns false if the
// call has ended.
func (w *moveWatch) beginStop() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopping = !w.ended
	return w.stopping
}

// cancelStop records that the engine was not made to stop the run, as far as is known.
func (w *moveWatch) cancelStop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopping = false
}

// release frees a copy that is not used.
func (w *moveWatch) release(copied MoveReply) {
	if copied.Handle != "" {
		w.stream.router.Calls.ReleaseHandle(w.source.Entry, copied.Handle)
	}
}

// recordAttempt records the result of an attempt to move the run. A destination without room is
// left out for a while. An engine that does not run the request yet, or not any more, or that is
// busy with another move of it, is asked again.
func (w *moveWatch) recordAttempt(need moveNeed, to *engines.Engine, err error) {
	s := w.stream
	if fault.Is(err, fault.NotFound) || fault.Is(err, fault.CallInProgress) {
		return
	}
	w.attempts++
	if fault.Is(err, fault.EndpointRefused) {
		to.MarkFull(need.size, s.router.now().Add(moveRefusalPause))
	}
	_ = level.Info(s.log).Log("msg", event.MoveTried, "from", w.source.ID, "engine", to.ID, "stopped", w.moved != nil, "err", err)
}

// hasEnded reports whether the call has ended.
func (w *moveWatch) hasEnded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ended
}
