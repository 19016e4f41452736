package placement

import (
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// Settings of the predictions.
const (
	slowdownGain       = 0.2 // Weight of one observation.
	slowdownLeast      = 0.5
	slowdownMost       = 8.0
	foreignReports     = 3 // Reports that must agree on work of others.
	defaultPrefillRate = 10_000.0
	defaultLinkRate    = 1e9 // Bytes a second.
)

// engineState is what the dispatcher counts for one engine.
type engineState struct {
	text.Engine
	leases   map[LeaseID]*lease
	slots    int          // Reserved slots.
	pieces   ident.Pieces // Reserved pieces.
	gone     bool         // No longer in the text; goes when its last lease does.
	prefills prefillQueue
	linkFree time.Time // Predicted end of the transfers on its link.
	breaker  breaker
	foreign  foreignWork
}

// newEngineState returns the state of an engine without work.
func newEngineState(e text.Engine) *engineState {
	if e.PrefillRate <= 0 {
		e.PrefillRate = defaultPrefillRate
	}
	if e.LinkBytes <= 0 {
		e.LinkBytes = defaultLinkRate
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

// piecesFor returns the pieces that hold a number of tokens.
func (e *engineState) piecesFor(n ident.Tokens) ident.Pieces {
	return ident.Pieces((n + e.TokensPerPiece - 1) / e.TokensPerPiece)
}

// usable reports whether the engine may get new work.
func (e *engineState) usable(now time.Time) bool {
	return !e.gone && e.State == text.Serving && e.breaker.allows(now)
}

// fits reports whether a slot and the pieces are free.
func (e *engineState) fits(pieces ident.Pieces) bool {
	return e.slots+e.foreign.slots < e.Slots && e.pieces+e.foreign.pieces+pieces <= e.MemoryPieces
}

// freeSlots returns the slots that nobody holds.
func (e *engineState) freeSlots() int { return max(0, e.Slots-e.slots-e.foreign.slots) }

// load returns the reserved part of the engine, from 0 to 1: of its slots or
// of its memory, whichever is greater.
func (e *engineState) load() float64 {
	bySlots := float64(e.slots+e.foreign.slots) / float64(max(1, e.Slots))
	byMemory := float64(e.pieces+e.foreign.pieces) / float64(max(1, e.MemoryPieces))
	return max(bySlots, byMemory)
}

// prefillTime returns how long the engine needs to prefill n tokens.
func (e *engineState) prefillTime(n ident.Tokens) time.Duration {
	return seconds(float64(n) / e.PrefillRate * e.prefills.slowdown)
}

// prefillQueue predicts when a prefill engine has done what it was given. The
// engine works on its requests one after the other.
type prefillQueue struct {
	ends     time.Time // Predicted end of all that was given.
	lastDone time.Time
	slowdown float64 // Observed time of a prefill over the declared one.
}

// wait returns how long a new prefill would wait.
func (q *prefillQueue) wait(now time.Time) time.Duration { return max(0, q.ends.Sub(now)) }

// observe corrects the slowdown by a prefill that was declared to take
// declared and took from start to end.
func (q *prefillQueue) observe(declared time.Duration, start, end time.Time) {
	if q.lastDone.After(start) {
		start = q.lastDone
	}
	q.lastDone = end
	if declared <= 0 {
		return
	}
	ratio := end.Sub(start).Seconds() / declared.Seconds()
	ratio = min(max(ratio, slowdownLeast), slowdownMost)
	q.slowdown += slowdownGain * (ratio - q.slowdown)
}

// foreignWork is work on an engine that the dispatcher did not place: the
// least excess of the last reports over its own count.
type foreignWork struct {
	slots    int
	pieces   ident.Pieces
	excesses []int
	memory   []ident.Pieces
	reported time.Time
}

// observe takes one load report, with the dispatcher's own count at that time.
func (f *foreignWork) observe(l Load, ownSlots int, ownPieces ident.Pieces) {
	if !l.Reported.After(f.reported) {
		return
	}
	f.reported = l.Reported
	f.excesses = appendBounded(f.excesses, max(0, l.Running+l.Waiting-ownSlots))
	f.memory = appendBounded(f.memory, max(0, l.PiecesUsed-ownPieces))
	f.slots, f.pieces = 0, 0
	if len(f.excesses) == foreignReports {
		f.slots, f.pieces = least(f.excesses), least(f.memory)
	}
}

// appendBounded appends v and keeps the newest foreignReports values.
func appendBounded[T any](list []T, v T) []T {
	list = append(list, v)
	if len(list) > foreignReports {
		list = list[1:]
	}
	return list
}

// least returns the least of a non-empty list.
func least[T int | ident.Pieces](list []T) T {
	v := list[0]
	for _, w := range list[1:] {
		v = min(v, w)
	}
	return v
}

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
