package placement

import (
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// Parameters of the predictions.
const (
	slowdownGain       = 0.2 // Weight of a new observation in the moving average.
	minSlowdown        = 0.5
	maxSlowdown        = 8.0
	foreignReportCount = 3 // Number of load reports from which foreign work is computed.
	defaultPrefillRate = 10_000.0
	defaultLinkRate    = 1e9 // Bytes per second.
)

// engineState is the dispatcher's record of one engine: its reservations, its
// predicted prefill queue and its circuit breaker.
type engineState struct {
	text.Engine
	leases         map[LeaseID]*lease
	reservedSlots  int
	reservedPieces ident.Pieces
	removed        bool // No longer configured; dropped when its last lease ends.
	prefills       prefillQueue
	linkFreeAt     time.Time // Predicted end of the transfers over its network link.
	breaker        breaker
	foreign        foreignWork
}

// newEngineState returns the state of an engine without leases. Rates that are
// not configured get defaults.
func newEngineState(e text.Engine) *engineState {
	if e.PrefillRate <= 0 {
		e.PrefillRate = defaultPrefillRate
	}
	if e.LinkBandwidth <= 0 {
		e.LinkBandwidth = defaultLinkRate
	}
	if e.TokensPerPiece <= 0 {
		e.TokensPerPiece = 1
	}
	return &engineState{
		Engine:   e,
		leases:   make(map[LeaseID]*lease),
		prefills: prefillQueue{slowdown: 1},
	}
}

// piecesFor returns the number of memory pieces that n tokens need.
func (e *engineState) piecesFor(n ident.Tokens) ident.Pieces {
	return ident.Pieces((n + e.TokensPerPiece - 1) / e.TokensPerPiece)
}

// usable reports whether the engine may get new requests.
func (e *engineState) usable(now time.Time) bool {
	return !e.removed && e.State == text.Serving && e.breaker.allows(now)
}

// fits reports whether a slot and the given number of pieces are free.
func (e *engineState) fits(pieces ident.Pieces) bool {
	return e.reservedSlots+e.foreign.slots < e.Slots && e.reservedPieces+e.foreign.pieces+pieces <= e.MemoryPieces
}

// freeSlots returns the number of slots that are neither reserved nor used by
// foreign work.
func (e *engineState) freeSlots() int { return max(0, e.Slots-e.reservedSlots-e.foreign.slots) }

// load returns the utilisation of the engine: the occupied fraction of its slots
// or of its memory, whichever is greater.
func (e *engineState) load() float64 {
	bySlots := float64(e.reservedSlots+e.foreign.slots) / float64(max(1, e.Slots))
	byMemory := float64(e.reservedPieces+e.foreign.pieces) / float64(max(1, e.MemoryPieces))
	return max(bySlots, byMemory)
}

// prefillTime returns the predicted duration of a prefill of n tokens.
func (e *engineState) prefillTime(n ident.Tokens) time.Duration {
	return secondsToDuration(float64(n) / e.PrefillRate * e.prefills.slowdown)
}

// prefillQueue predicts when a prefill engine will have completed its open
// prefills. It assumes that the engine processes them sequentially.
type prefillQueue struct {
	doneAt   time.Time // Predicted end of all open prefills.
	lastDone time.Time
	slowdown float64 // Moving average of observed over expected prefill time.
}

// wait returns the predicted queueing time of a new prefill.
func (q *prefillQueue) wait(now time.Time) time.Duration { return max(0, q.doneAt.Sub(now)) }

// observe updates the slowdown with a prefill that was granted at start and done
// at end. declared is its time at the configured rate. The engine is taken to
// begin the prefill when the previous one is done, if that is later than start.
func (q *prefillQueue) observe(declared time.Duration, start, end time.Time) {
	if q.lastDone.After(start) {
		start = q.lastDone
	}
	q.lastDone = end
	if declared <= 0 {
		return
	}
	ratio := end.Sub(start).Seconds() / declared.Seconds()
	ratio = min(max(ratio, minSlowdown), maxSlowdown)
	q.slowdown += slowdownGain * (ratio - q.slowdown)
}

// foreignWork estimates the work on an engine that this dispatcher did not place:
// the minimum excess of the last reports over the dispatcher's own reservations.
// The minimum over several reports keeps a single report, which lags, from adding
// foreign work.
type foreignWork struct {
	slots         int
	pieces        ident.Pieces
	slotExcesses  []int          // Excess of the last reports, oldest first.
	pieceExcesses []ident.Pieces // Likewise.
	reported      time.Time      // Time of the last report.
}

// observe adds a load report, with the dispatcher's own reservations at the time
// it is received. The last report again is ignored. An older time is that of a newer
// report, as reports are read one after another: the engine's clock was set back.
func (f *foreignWork) observe(l Load, ownSlots int, ownPieces ident.Pieces) {
	if l.Reported.Equal(f.reported) {
		return
	}
	f.reported = l.Reported
	f.slotExcesses = appendBounded(f.slotExcesses, max(0, l.Running+l.Waiting-ownSlots))
	f.pieceExcesses = appendBounded(f.pieceExcesses, max(0, l.PiecesUsed-ownPieces))
	f.slots, f.pieces = 0, 0
	if len(f.slotExcesses) == foreignReportCount {
		f.slots, f.pieces = minimum(f.slotExcesses), minimum(f.pieceExcesses)
	}
}

// appendBounded appends v and keeps the newest foreignReportCount values.
func appendBounded[T any](list []T, v T) []T {
	list = append(list, v)
	if len(list) > foreignReportCount {
		list = list[1:]
	}
	return list
}

// minimum returns the least value of a non-empty list.
func minimum[T int | ident.Pieces](list []T) T {
	v := list[0]
	for _, w := range list[1:] {
		v = min(v, w)
	}
	return v
}

// secondsToDuration converts a number of seconds to a duration.
func secondsToDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
