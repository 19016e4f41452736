package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/sleep"
)

const (
	// minSilentGaps is how many times the average pause between the events of a run a silence is
	// at least. A shorter one may be the pace of the engine.
	minSilentGaps = 4
	// silenceChecks is how often within the timeout the watch looks whether a silence can be detected.
	silenceChecks = 4
	// reachTimeout is how long opening a connection to a silent engine may take. What is left of the
	// time for which the copy of its run is kept is for the continuation.
	reachTimeout = 50 * time.Millisecond
)

// errEngineSilent is the cancellation cause of a call whose run is continued at its backup engine
// since its engine is silent.
var errEngineSilent = fault.Wrap(errSilent, fault.EndpointTimeout, "the run has a backup")

// errSilent is the cause of errEngineSilent, by which copies of it are recognised.
var errSilent = errors.New("the engine is silent")

// silenceWatch cancels the call of a run with a backup if its engine falls silent between two
// events. The copy is kept only for a short time after its last part, so that a silence has to be
// noticed earlier than by stallMonitor. The call is cancelled only if the engine can be reached:
// otherwise the close of the connection would not reach it, and it might continue with the run.
type silenceWatch struct {
	stream     *stream
	backup     *backup    // Nil if the run is not watched.
	moves      *moveWatch // The watch for moves of the same call.
	cancelCall context.CancelCauseFunc
	timeout    time.Duration // Longest time without an event.
	stop       context.CancelFunc
	running    sync.WaitGroup

	mu           sync.Mutex
	firstEventAt time.Time // When the first event was delivered; zero before.
	eventAt      time.Time // When the last event was delivered.
	events       int       // Deliveries of events.
	delivering   bool      // Data is being delivered to the caller. The engine is not read meanwhile.
	cancelled    bool      // The call was cancelled, and a part of the retry budget is kept.
}

// watchSilence starts the watch of a call whose context is ctx. Runs without a backup are not
// watched.
func (s *stream) watchSilence(ctx context.Context, cancelCall context.CancelCauseFunc, moves *moveWatch) *silenceWatch {
	w := &silenceWatch{stream: s, backup: s.backup, moves: moves, cancelCall: cancelCall, timeout: s.silenceTimeout()}
	ctx, w.stop = context.WithCancel(ctx)
	if w.backup == nil || w.timeout <= 0 {
		return w
	}
	w.running.Go(func() {
		_ = s.boundary().Run("silence watch", func() { w.run(ctx) }) // A panic is logged; the call goes on unwatched.
	})
	return w
}

// endWatch ends a watch and waits for it. It takes over the part of the retry budget of a call
// that was cancelled, unless the stream is resumed with another reservation.
func (s *stream) endWatch(w *silenceWatch) {
	w.stop()
	w.running.Wait()
	switch {
	case !w.cancelled:
	case s.replacement != nil:
		s.router.returnExtraCall(s.service.Name)
	default:
		s.takeOverExtraCall()
	}
}

// beginDelivery records that data has arrived and is being delivered to the caller. It fails if
// the call has been cancelled: the backup engine sends the same data again.
func (w *silenceWatch) beginDelivery() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelled {
		return errEngineSilent
	}
	w.delivering = true
	return nil
}

// endDelivery records that data has been delivered, and whether it had the end of an event.
func (w *silenceWatch) endDelivery(completesEvent bool) {
	now := w.stream.router.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delivering = false
	if !completesEvent {
		return
	}
	if w.events == 0 {
		w.firstEventAt = now
	}
	w.events++
	w.eventAt = now
}

// silentFrom returns the time from which the engine counts as silent unless it completes an event
// before, and the time of the last event. It returns false if no silence can be detected: two events
// are needed, and pauses that are shorter than the timeout.
func (w *silenceWatch) silentFrom() (at, lastEvent time.Time, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.delivering || w.events < 2 {
		return time.Time{}, time.Time{}, false
	}
	pause := w.eventAt.Sub(w.firstEventAt) / time.Duration(w.events-1)
	return w.eventAt.Add(w.timeout), w.eventAt, minSilentGaps*pause <= w.timeout
}

// run waits for silences. A silence after which the call continues is not handled again.
func (w *silenceWatch) run(ctx context.Context) {
	var handled time.Time
	for ctx.Err() == nil {
		at, lastEvent, ok := w.silentFrom()
		now := w.stream.router.now()
		if !ok || lastEvent.Equal(handled) {
			sleep.For(ctx, w.timeout/silenceChecks)
			continue
		}
		if now.Before(at) {
			sleep.For(ctx, at.Sub(now))
			continue
		}
		handled = lastEvent
		w.cutOff(ctx, lastEvent)
	}
}

// cutOff cancels the call of a silent engine that can be reached, if the backup engine accepts
// calls and the retry budget allows one. A run that is being stopped for a move is silent.
func (w *silenceWatch) cutOff(ctx context.Context, lastEvent time.Time) {
	r, service := w.stream.router, w.stream.service.Name
	now := r.now()
	if w.moves.isStopping() || !w.backup.engine.Accepts(now) || !r.holdExtraCall(service) {
		return
	}
	if !r.Calls.IsReachable(ctx, w.backup.first.Entry, now.Add(reachTimeout)) || !w.cancelIfSilent(lastEvent) {
		r.returnExtraCall(service)
	}
}

// cancelIfSilent cancels the call, unless something has arrived since the given last event.
func (w *silenceWatch) cancelIfSilent(lastEvent time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.delivering || !w.eventAt.Equal(lastEvent) {
		return false
	}
	w.cancelled = true
	w.cancelCall(errEngineSilent)
	return true
}
