package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/catalog"
	"monsoonfork/core/engines"
	"monsoonfork/core/event"
	"monsoonfork/core/sleep"
)

const (
	// minStallTimeout is the shortest time without an event after which a resumable stream is
	// to be resumed at another engine. An engine without a fault may pause for about a
	// second.
	minStallTimeout = 1200 * time.Millisecond
	// stallTimeoutShare is the stall timeout as a fraction of the time after which callers
	// give up. The rest is for the reservation, the prefill and the first event of the
	// resumed stream.
	stallTimeoutShare = 0.5
	// minCallerTimeout, callerObjectiveFactor and callerGapFactor give the time without
	// an event after which callers abandon a stream: the longest of a fixed time and of
	// multiples of the route's objectives for the first event and between events.
	minCallerTimeout      = 2 * time.Second
	callerObjectiveFactor = 4
	callerGapFactor       = 8
	// replacementInterval is the pause between two attempts to find another engine for a
	// stalled stream.
	replacementInterval = 200 * time.Millisecond
	// minDeliveryWait is the shortest delivery to a caller that counts as a wait for it. Others
	// must not move a stall that is being handled.
	minDeliveryWait = 10 * time.Millisecond
)

// errStreamStalled is the cancellation cause of a call that is replaced since its stream
// stalled.
var errStreamStalled = errors.New("the stream stalled")

// The reasons why a stalled stream stays at its engine.
var (
	errNoFurtherRun    = errors.New("the request may not be sent to another engine")
	errNoRetryBudget   = errors.New("the retry budget is used up")
	errNoReservation   = errors.New("no other decode engine granted a reservation")
	errOthersFirst     = errors.New("other requests ask for reservations first")
	errPromptHeld      = errors.New("a part of the prompt is held back from engines")
	errStreamContinued = errors.New("the engine has continued")
)

// stallMonitor detects that a resumable stream stalls, or that a repeatable request fails with
// an answer that does not end, and then looks for another engine. The call is cancelled only
// when another engine has granted a reservation; until then its engine may continue.
type stallMonitor struct {
	stream     *stream
	cancelCall context.CancelCauseFunc
	timeout    time.Duration // Longest time between two events; 0 if silence is no stall.
	stop       context.CancelFunc
	running    sync.WaitGroup
	earlier    chan struct{} // Holds an element after stallsAt has moved to an earlier time.

	mu          sync.Mutex
	stallsAt    time.Time          // The stream has stalled if no event is complete before.
	failed      bool               // The engine has failed: data does not move stallsAt any more.
	delivering  time.Time          // When the delivery of data to the caller began; zero without one. The engine is not read meanwhile.
	replacement *decodeReservation // Set when the call is cancelled.
}

// monitorStalls starts the monitor of a call whose context is ctx. Requests that can't be
// sent to another engine are not monitored, and silence is a stall only of streams.
func (s *stream) monitorStalls(ctx context.Context, cancelCall context.CancelCauseFunc) *stallMonitor {
	m := &stallMonitor{stream: s, cancelCall: cancelCall, stallsAt: s.deadline, earlier: make(chan struct{}, 1)}
	if s.route.Kind == catalog.Stream {
		objective := time.Duration(s.route.TargetLatencyMS) * time.Millisecond
		m.timeout = s.stallTimeout()
		m.stallsAt = s.router.now().Add(max(m.timeout, objective+minStallTimeout) + s.localPrefillTime())
	}
	ctx, m.stop = context.WithCancel(ctx)
	if s.repeatable() && s.route.MaxEngines > 1 {
		m.running.Go(func() {
			_ = s.boundary().Run("stall monitor", func() { m.run(ctx) }) // A panic is logged; the call goes on unmonitored.
		})
	}
	return m
}

// sendMonitored makes a call with a monitor, and sets s.replacement if the call was cancelled
// for one, and s.moved if its run has stopped for a move. It ends what monitors the call also if
// the call panics.
func (s *stream) sendMonitored(requestCtx context.Context, e *engines.Engine, call Call, sink Sink) (err error) {
	ctx, cancel := context.WithCancelCause(requestCtx)
	defer cancel(nil)
	moves := s.watchMoves(requestCtx, e)
	monitor := s.monitorStalls(ctx, cancel)
	silences := s.watchSilence(ctx, cancel, moves)
	defer func() {
		s.replacement = monitor.close()
		s.endWatch(silences)
		s.endMoves(requestCtx, moves, err)
	}()
	return s.router.Calls.Send(ctx, call, Sink{
		OnHead: func(h Head) error {
			if s.isRetryableFailure(h) {
				monitor.recordFailedAnswer()
			}
			return sink.OnHead(h)
		},
		OnData: func(data []byte) error {
			completesEvent := !s.isEventStream || s.splitter.completesEvent(data)
			if err := monitor.beginDelivery(completesEvent); err != nil {
				return err
			}
			defer monitor.endDelivery()
			if err := silences.beginDelivery(); err != nil {
				return err
			}
			defer silences.endDelivery(completesEvent && s.isEventStream)
			return sink.OnData(data)
		},
	})
}

// stallTimeout returns how long the stream may be without an event before it is to be resumed
// at another engine.
func (s *stream) stallTimeout() time.Duration {
	objective := time.Duration(s.route.TargetLatencyMS) * time.Millisecond
	gap := time.Duration(s.route.TargetEventGapMS) * time.Millisecond
	callerTimeout := max(minCallerTimeout, callerObjectiveFactor*objective, callerGapFactor*gap)
	return max(minStallTimeout, time.Duration(stallTimeoutShare*float64(callerTimeout)))
}

// localPrefillTime returns the estimated time until the decode engine has prefilled the
// prompt; 0 if a prefill engine has done it.
func (s *stream) localPrefillTime() time.Duration {
	if s.localPrefill == nil {
		return 0
	}
	return s.prefillTime(s.localPrefill.queued+s.PromptTokens, localSpeedRatio)
}

// close ends the monitor, waits for it, and returns the reservation with which the stream
// is to be resumed, or nil if the call was not cancelled.
func (m *stallMonitor) close() *decodeReservation {
	m.stop()
	m.running.Wait()
	return m.replacement
}

// beginDelivery records that data has arrived and is being delivered to the caller. It fails if
// the call has been cancelled: the other engine sends the same data again. A stream stalls also
// if its engine sends something, but completes no event.
func (m *stallMonitor) beginDelivery(completesEvent bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.replacement != nil {
		return errStreamStalled
	}
	now := m.stream.router.now()
	if completesEvent && m.timeout > 0 && !m.failed {
		m.moveStall(now.Add(m.timeout))
	}
	m.delivering = now
	return nil
}

// endDelivery records that data has been delivered. The time that the caller took is not the
// engine's.
func (m *stallMonitor) endDelivery() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if waited := m.stream.router.now().Sub(m.delivering); waited >= minDeliveryWait {
		m.stallsAt = m.stallsAt.Add(waited)
	}
	m.delivering = time.Time{}
}

// recordFailedAnswer records that the engine has failed: the rest of its answer may take
// failedAnswerTime.
func (m *stallMonitor) recordFailedAnswer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failed = true
	m.moveStall(m.stream.router.now().Add(failedAnswerTime))
}

// moveStall sets the time at which the stream stalls. The caller must hold mu.
func (m *stallMonitor) moveStall(at time.Time) {
	if at.Before(m.stallsAt) {
		select {
		case m.earlier <- struct{}{}:
		default:
		}
	}
	m.stallsAt = at
}

// waitForStall waits for d, or until stallsAt moves to an earlier time or ctx ends.
func (m *stallMonitor) waitForStall(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.earlier:
	case <-ctx.Done():
	}
}

// stallTime returns the time at which the stream stalls unless an event is complete before.
func (m *stallMonitor) stallTime() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.delivering.IsZero() {
		return m.stallsAt
	}
	return m.stallsAt.Add(m.stream.router.now().Sub(m.delivering))
}

// run waits for stalls, and tries to replace the call while one lasts. Each stall is
// logged once.
func (m *stallMonitor) run(ctx context.Context) {
	var logged time.Time
	for ctx.Err() == nil {
		stallsAt := m.stallTime()
		if wait := stallsAt.Sub(m.stream.router.now()); wait > 0 {
			m.waitForStall(ctx, wait)
			continue
		}
		err := m.replace(ctx, stallsAt)
		if stallsAt != logged && (err == nil || ctx.Err() == nil) {
			logged = stallsAt
			m.logStall(err)
		}
		sleep.For(ctx, replacementInterval)
	}
}

// logStall logs a stall, with the reason why the call was not replaced.
func (m *stallMonitor) logStall(reason error) {
	s := m.stream
	_ = level.Info(s.log).Log("msg", event.StreamStalled, "engine", s.lastEngine, "replaced", reason == nil, "err", reason)
}

// replace reserves memory at another engine, within the limits of the route and the retry
// budget, and cancels the call if no event has arrived meanwhile. If it fails, it returns
// what it took from the retry budget.
func (m *stallMonitor) replace(ctx context.Context, stalledAt time.Time) error {
	s := m.stream
	if s.attempts >= maxStreamAttempts || s.possibleRuns >= s.route.MaxEngines || !s.mayTryAgain() {
		return errNoFurtherRun
	}
	if s.router.Quarantine.IsHeld(s.prompt()) {
		return errPromptHeld
	}
	if !s.router.holdExtraCall(s.service.Name) {
		return errNoRetryBudget
	}
	replaced := false
	defer func() {
		if !replaced {
			s.router.returnExtraCall(s.service.Name)
		}
	}()
	reserved, err := m.reserve(ctx, stalledAt)
	if err != nil {
		return err
	}
	if replaced = m.cancelIfStalled(stalledAt, reserved); !replaced {
		s.endReservation(&reserved)
		return errStreamContinued
	}
	return nil
}

// reserve asks other engines for a reservation once, if it is the turn of the stream.
func (m *stallMonitor) reserve(ctx context.Context, stalledAt time.Time) (decodeReservation, error) {
	s := m.stream
	w := &waiter{cost: s.reservationCost(), reserveBy: stalledAt.Add(maxResumeWait), class: s.class(), lostPlace: true}
	queue := s.router.reserveQueues.enqueue(s.service.Name, w)
	defer queue.remove(w)
	if !queue.mayReserve(w, s.router.now()) {
		return decodeReservation{}, errOthersFirst
	}
	reserved, ok := s.tryReserve(ctx)
	if !ok {
		queue.recordRefusal(s.router.now())
		return decodeReservation{}, errNoReservation
	}
	return reserved, nil
}

// cancelIfStalled cancels the call, unless an event has arrived after the given stall.
func (m *stallMonitor) cancelIfStalled(stalledAt time.Time, replacement decodeReservation) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stallsAt != stalledAt || !m.delivering.IsZero() {
		return false
	}
	m.replacement = &replacement
	m.cancelCall(errStreamStalled)
	return true
}
