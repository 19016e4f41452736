package forward

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/admission"
	"monsoonfork/core/fault"
)

const (
	// shortWait is how long a request waits for memory at least before less urgent ones, also at
	// other instances, are held back for it.
	shortWait = 60 * time.Millisecond
	// shortWaitShare is the same as a fraction of the time until the request is late.
	shortWaitShare = 0.25
	// waitRecordTime is how long a waiting request counts as such after each round. It is longer
	// than a round, and than the time between two reports to other instances.
	waitRecordTime = 250 * time.Millisecond
)

// turn decides when one request may ask the decode engines for a reservation. While more urgent
// requests lack memory, here or at other instances, it may do so in a part of its rounds only.
type turn struct {
	stream    *stream
	queue     *reserveQueue
	waiter    *waiter
	holdFrom  time.Time     // From then on, less urgent requests are held back for the request.
	waitUntil time.Time     // The request is refused from then on.
	leastTime time.Duration // Time within which no answer is complete; 0 if unknown.
	held      int           // Number of rounds left to more urgent requests.
}

// newTurn adds the request to the queue of its service.
func (s *stream) newTurn(now time.Time) *turn {
	w := &waiter{cost: s.reservationCost(), reserveBy: s.reserveBy(), class: s.class(), lostPlace: s.lostPlace()}
	t := &turn{stream: s, waiter: w, waitUntil: s.waitDeadline()}
	t.holdFrom = now.Add(max(shortWait, time.Duration(shortWaitShare*float64(w.reserveBy.Sub(now)))))
	t.queue = s.router.reserveQueues.enqueue(s.service.Name, w)
	if w.lostPlace {
		return t
	}
	t.queue.recordArrival(w, now)
	if t.competing(now).HasOtherThan(w.class) {
		t.leastTime = max(s.prefillTime(s.PromptTokens, 1)+firstEventTime, s.router.durations.shortest(s.service.Name, s.expectedOutput()))
	}
	return t
}

// class returns the class of the request.
func (j *job) class() admission.Class { return admission.ClassOf(j.urgency) }

// end removes the request from the queue.
func (t *turn) end() {
	t.queue.remove(t.waiter)
	if t.held > 0 {
		t.stream.logFields = append(t.stream.logFields, "held", t.held)
	}
}

// waiting returns the classes that lack memory of the service, here or at other instances.
func (t *turn) waiting() admission.ClassSet {
	return t.stream.router.Pressure.Classes(t.stream.service.Name)
}

// competing returns the classes of the requests that were here lately, or lack memory anywhere.
func (t *turn) competing(now time.Time) admission.ClassSet {
	return t.queue.present(now) | t.waiting()
}

// moreUrgent returns how many more urgent classes lack memory. None is more urgent than a request
// that has lost its place, or one whose class is starved.
func (t *turn) moreUrgent(now time.Time) int {
	if t.waiter.lostPlace {
		return 0
	}
	n := t.waiting().MoreUrgentThan(t.waiter.class)
	if n == 0 || t.queue.isStarved(t.waiter, now) {
		return 0
	}
	return n
}

// isOn reports whether the request may ask the engines now.
func (t *turn) isOn(now time.Time) bool {
	r := t.stream.router
	n := t.moreUrgent(now)
	isOpen := n > 0 && r.random() < admission.OpenShare(n)
	if n > 0 && !isOpen {
		t.held++
		r.counters.heldRounds.Inc(1)
		return false
	}
	t.waiter.open = isOpen || t.queue.isStarved(t.waiter, now)
	return t.queue.mayReserve(t.waiter, now)
}

// checkDeadline returns an error if the answer can't be complete before the deadline.
func (t *turn) checkDeadline(now time.Time) error {
	if t.leastTime == 0 || t.stream.deadline.Sub(now) >= t.leastTime {
		return nil
	}
	return t.refuse(now, "the time until the deadline is too short")
}

// checkWait returns an error if the request has waited for too long, or will have before its next
// open attempt.
func (t *turn) checkWait(now time.Time) error {
	if !now.Before(t.waitUntil) {
		return t.refuseForMemory(now, "no decode engine has free memory")
	}
	n := t.moreUrgent(now)
	if n == 0 || t.waitUntil.Sub(now) >= admission.MeanWait(n, reserveInterval) {
		return nil
	}
	t.stream.router.counters.refusedForUrgent.Inc(1)
	return t.refuseForMemory(now, "more urgent requests wait for memory of decode engines")
}

// recordWait records that the request still waits, so that less urgent ones are held back.
func (t *turn) recordWait(now time.Time) {
	if t.waiter.lostPlace || now.Before(t.holdFrom) {
		return
	}
	t.stream.router.Pressure.Record(t.stream.service.Name, t.waiter.class, now.Add(waitRecordTime))
}

// refuseForMemory returns the error of a request for which there was no memory. Its class counts
// as waiting until the most urgent ones return.
func (t *turn) refuseForMemory(now time.Time, why string) error {
	s := t.stream
	s.logFields = append(s.logFields, "asked", s.reserveCalls, "usable", len(s.decodeCandidates(0)))
	if !t.waiter.lostPlace {
		s.router.Pressure.Record(s.service.Name, t.waiter.class, now.Add(overloadedRetryAfter))
	}
	return t.refuse(now, why)
}

// refuse returns the error of a request that is not served. If the priorities of requests differ,
// less urgent ones are to return later.
func (t *turn) refuse(now time.Time, why string) error {
	s, retry := t.stream, overloadedRetryAfter
	if c := t.competing(now); !t.waiter.lostPlace && c.HasOtherThan(t.waiter.class) {
		retry = admission.RetryDelay(c.MoreUrgentThan(t.waiter.class), s.deadline.Sub(now), s.router.random())
	}
	return fault.New(fault.Overloaded, "%s", why).WithRetryAfter(now.Add(retry))
}

// recordOutcome records whether the request has got a reservation, unless it has ended for
// another reason.
func (t *turn) recordOutcome(err error) {
	if t.waiter.lostPlace || err != nil && !fault.Is(err, fault.Overloaded) {
		return
	}
	t.queue.recordOutcome(t.waiter, err == nil, t.stream.router.now())
}

// turnCounters holds the metrics of the decisions between requests of different priorities.
type turnCounters struct {
	heldRounds        metrics.Counter // Rounds left to more urgent requests.
	refusedForUrgent  metrics.Counter // Requests refused early, as more urgent ones waited.
	refusedForReserve metrics.Counter // Requests refused while tokens of their organisation were reserved for more urgent ones.
}

// newTurnCounters returns the metrics of a router.
func newTurnCounters(counter func(name string) metrics.Counter) turnCounters {
	return turnCounters{
		heldRounds:        counter("HeldRounds"),
		refusedForUrgent:  counter("RefusedForUrgent"),
		refusedForReserve: counter("RefusedForReserve"),
	}
}
