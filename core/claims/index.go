package claims

import (
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// record is what the log says about one call.
type record struct {
	claim    ClaimID
	request  string
	holder   ident.InstanceID
	at       time.Time
	deadline time.Time
	answer   *Answer // Nil while the call runs, or when its outcome is not known.
}

// index is the state that the entries of one log give, in their order.
type index map[CallHash]record

// apply adds an entry. Of several claims on a call the first in the log wins.
func (x index) apply(e *Entry, expired func(time.Time) bool) {
	r, exists := x[e.Call]
	switch e.Op {
	case Claim:
		if exists && !expired(r.at) {
			return
		}
		x[e.Call] = record{
			claim:    e.Claim,
			request:  e.Request,
			holder:   e.Holder,
			at:       e.time(),
			deadline: time.UnixMilli(e.Deadline),
		}
	case Done:
		if exists && r.claim == e.Claim {
			r.answer = e.Answer
			x[e.Call] = r
		}
	case Release:
		if exists && r.claim == e.Claim && r.answer == nil {
			delete(x, e.Call)
		}
	}
}

// verdict is what becomes of an operation, given the state of its call.
type verdict struct {
	write  bool    // The entry must be written.
	replay *Answer // The answer of an earlier run.
	err    error
}

// judge returns the verdict on an entry. holderGone says whether the process
// of a holder has ended.
func (x index) judge(e *Entry, now time.Time, expired func(time.Time) bool, holderGone func(ident.InstanceID) bool) verdict {
	r, exists := x[e.Call]
	if exists && expired(r.at) {
		exists = false
	}
	if e.Op != Claim {
		open := exists && r.claim == e.Claim && r.answer == nil
		return verdict{write: open}
	}
	switch {
	case !exists:
		return verdict{write: true}
	case r.claim == e.Claim:
		return verdict{}
	case r.request != e.Request:
		return verdict{err: fault.New(fault.CallMismatch, "the Idempotency-Key was used with another request")}
	case r.answer != nil:
		return verdict{replay: r.answer}
	case now.After(r.deadline) || holderGone(r.holder):
		return verdict{err: fault.New(fault.OutcomeUnknown, "an earlier call with this Idempotency-Key may have run; its outcome is not known")}
	}
	return verdict{err: fault.New(fault.CallInProgress, "a call with this Idempotency-Key is running").WithRetryAfter(r.deadline)}
}
