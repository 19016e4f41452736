package claims

import (
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// callRecord is the state of one call according to the log.
type callRecord struct {
	claim     ClaimID
	request   string
	holder    ident.InstanceID
	claimedAt time.Time
	deadline  time.Time
	answer    *Answer // Nil while the call runs, or if its outcome is unknown.
}

// callIndex is the state of all calls of one log: the result of applying its entries
// in order.
type callIndex map[CallHash]callRecord

// apply applies an entry. The first claim on a call wins; later ones have no effect
// until it is released or expires.
func (x callIndex) apply(e *Entry, expired func(time.Time) bool) {
	r, exists := x[e.Call]
	switch e.Op {
	case Claim:
		if exists && !expired(r.claimedAt) {
			return
		}
		x[e.Call] = callRecord{
			claim:     e.Claim,
			request:   e.Request,
			holder:    e.Holder,
			claimedAt: e.createdAt(),
			deadline:  time.UnixMilli(e.Deadline),
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

// decision is the result of an operation, given the state of its call. The zero
// value accepts the operation without a write.
type decision struct {
	needsWrite bool    // The entry must be written.
	replay     *Answer // The answer of an earlier run of the call.
	err        error
}

// evaluate returns the decision on an entry that is to be appended. holderEnded
// reports whether the process of a holder has ended.
func (x callIndex) evaluate(e *Entry, now time.Time, expired func(time.Time) bool, holderEnded func(ident.InstanceID) bool) decision {
	r, exists := x[e.Call]
	if exists && expired(r.claimedAt) {
		exists = false
	}
	if e.Op != Claim {
		running := exists && r.claim == e.Claim && r.answer == nil
		return decision{needsWrite: running}
	}
	switch {
	case !exists && expired(e.createdAt()):
		return decision{err: fault.New(fault.BadRequest, "the claim was made at %v and has expired", e.createdAt().UTC())}
	case !exists:
		return decision{needsWrite: true}
	case r.claim == e.Claim:
		return decision{}
	case r.request != e.Request:
		return decision{err: fault.New(fault.CallMismatch, "the Idempotency-Key was used with another request")}
	case r.answer != nil:
		return decision{replay: r.answer}
	case now.After(r.deadline) || holderEnded(r.holder):
		return decision{err: fault.New(fault.OutcomeUnknown, "an earlier call with this Idempotency-Key may have run; its outcome is not known")}
	}
	return decision{err: fault.New(fault.CallInProgress, "a call with this Idempotency-Key is running").WithRetryAfter(r.deadline)}
}
