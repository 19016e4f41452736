package forward

import (
	"time"

	"monsoonfork/core/catalog"
	"monsoonfork/core/engines"
	"monsoonfork/core/ident"
)

const (
	// stageChangeLead is how long an engine that is about to change its stage serves its streams at
	// least: instances are notified of an order before it is sent.
	stageChangeLead = time.Second
	// moveMargin is how long before the end of its engine a stream is expected to end, for it to
	// stay there. It allows for the time until this instance learns that the engine leaves.
	moveMargin = 200 * time.Millisecond
	// overrunShare is the least part of its time so far that a stream that has taken longer than
	// expected is expected to take on.
	overrunShare = 0.1
)

// moveNeed is what decides whether a stream is moved, and to which engine.
type moveNeed struct {
	source   *engines.Engine
	model    *catalog.ModelPool
	size     ident.Tokens // Memory of the run at its end.
	end      time.Time    // Expected end of the stream.
	sourceBy time.Time    // Until when the source serves the stream at least.
}

// isNeeded reports whether the stream may outlast its engine.
func (n moveNeed) isNeeded() bool { return n.end.Add(moveMargin).After(n.sourceBy) }

// rank returns the rank of an engine as the destination, the lowest being the best, and whether it
// can be one: it has room, and the transfer may be complete before the source ends. A source that
// serves its streams for longer than it has to is taken to continue for moveMargin.
func (n moveNeed) rank(e *engines.Engine, now time.Time) (rank float64, ok bool) {
	if e == n.source || e.CurrentStage() == engines.Prefill || e.IsChangingStage(now) || e.IsSilent(now) || !e.HasCapacity(n.size, now) {
		return 0, false
	}
	left, transfer := max(moveMargin, n.sourceBy.Sub(now)), n.transferTime(e)
	if transfer >= left {
		return 0, false
	}
	memory := float64(e.Load().Memory+n.size) / float64(max(1, n.model.KVCacheTokens))
	return memory + float64(transfer)/float64(left), memory <= 1
}

// transferTime returns how long the transfer of the run's memory to an engine takes; 0 if that is
// not known.
func (n moveNeed) transferTime(to *engines.Engine) time.Duration {
	t := transferTime(n.model, n.size)
	if to.Domain != n.source.Domain {
		t = time.Duration(remoteTransferFactor * float64(t))
	}
	return t
}

// expectedEnd returns the time at which a stream is expected to end: the given estimate of its
// duration after it was received, but at most the deadline. An estimate of 0 means that there is
// none, and the deadline is returned.
func expectedEnd(received, deadline, now time.Time, estimate time.Duration) time.Time {
	if estimate == 0 {
		return deadline
	}
	end := received.Add(estimate)
	overrun := now.Add(time.Duration(overrunShare * float64(now.Sub(received))))
	if end.Before(overrun) {
		end = overrun
	}
	if end.After(deadline) {
		return deadline
	}
	return end
}
