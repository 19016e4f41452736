// Package engines holds the engines listed by the platform, with the load and the
// failure statistics that this instance has measured with its own calls.
package engines

import (
	"sync"
	"time"

	"monsoonfork/core/boottime"
	"monsoonfork/core/ident"
)

//go:generate stringer -type=State,Stage -output=engines_string.go

// State tells whether an engine accepts new requests.
type State int

// A Ready engine accepts new requests; a Leaving one completes its open requests and stops.
const (
	Ready State = iota
	Leaving
)

// Stage is the phase of a request, prefill or decode, that a model engine serves.
type Stage int

// A model service may have separate engines for prefill and decode.
const (
	AnyStage Stage = iota // Engine of a plain service, or of a model service without separate pools.
	Prefill
	Decode
)

// Entry is an engine's entry in the platform's list. State, Stage, ListRevision and the
// cold fields may change while the engine runs; a change of another field means a new run of
// the engine.
type Entry struct {
	ID           ident.EndpointID
	Service      ident.ServiceID
	Address      ident.Address
	Domain       ident.DomainID
	Slots        int
	State        State
	Stage        Stage
	Started      int64 // Start time in Unix milliseconds; 0 if unknown.
	ListRevision int64 `json:"AsOf"` // Revision of the list at which this entry changed.

	Cold          time.Duration // For how long the engine was cold when its entry was written.
	ColdRemaining time.Duration // For how long it is cold from now on.
}

// Engine is one run of an engine, from its start to its end, with the load and the
// statistics measured by this instance. The embedded Entry is the first one received;
// CurrentEntry returns the latest.
type Engine struct {
	Entry

	mu               sync.Mutex
	removed          bool
	state            State
	stage            Stage
	revision         int64
	answerFailures   failureRate   // Failure rate of calls.
	silence          silence       // Whether it leaves calls unanswered.
	fetchFailures    failureRate   // Failure rate of transfers of prefilled prompts to it.
	running          int           // Open requests of this instance.
	reserved         ident.Tokens  // Memory reserved by this instance.
	prefillTokens    ident.Tokens  // Prompt tokens of open prefills of this instance.
	decodePace       paceAverage   // Measured by this instance.
	prefillPace      paceAverage   // Measured by this instance.
	others           others        // Reported by all other instances.
	queueDelay       time.Duration // Average time that prompts waited for prefill.
	queueDelayAt     time.Time
	nextStage        Stage     // Stage that it is changing to.
	stageChangeUntil time.Time // No new requests until then, unless nextStage is reached earlier.
	fullUntil        time.Time
	refusedSize      ident.Tokens     // Size of the last refused reservation.
	announcedLeaving bool             // The engine has announced in an answer that it leaves.
	pausedUntil      time.Time        // The engine has asked for no calls until then.
	evacuated        bool             // Its failure domain is evacuated.
	cold             time.Duration    // Cold in the latest entry.
	coldUntil        boottime.Instant // The engine is cold until then.
}

// RecordSuccess records a successful answer.
func (e *Engine) RecordSuccess(now time.Time) {
	e.RecordAnswer(now)
	e.recordOutcome(&e.answerFailures, 0, failedAnswerWeight, now)
}

// RecordFailure records an answer that reports a failure or a refusal.
func (e *Engine) RecordFailure(now time.Time) {
	e.RecordAnswer(now)
	e.recordOutcome(&e.answerFailures, 1, failedAnswerWeight, now)
}

// RecordIncompleteResponse records a call without a complete response.
func (e *Engine) RecordIncompleteResponse(now time.Time) {
	e.recordOutcome(&e.answerFailures, 1, noAnswerWeight, now)
}

// RecordFetch records whether the engine could fetch a prefilled prompt.
func (e *Engine) RecordFetch(ok bool, now time.Time) {
	if ok {
		e.recordOutcome(&e.fetchFailures, 0, noAnswerWeight, now)
	} else {
		e.recordOutcome(&e.fetchFailures, 1, noAnswerWeight, now)
	}
}

// recordOutcome records an outcome, 0 or 1, in one of the engine's failure rates.
func (e *Engine) recordOutcome(rate *failureRate, value, weight float64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rate.record(value, weight, now)
}

// FailureRate returns the failure rate of calls to the engine, from 0 to 1.
func (e *Engine) FailureRate(now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answerFailures.valueAt(now)
}

// FetchFailureRate returns the failure rate of transfers of prefilled prompts to the
// engine, from 0 to 1.
func (e *Engine) FetchFailureRate(now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fetchFailures.valueAt(now)
}

// BeginRequest adds a request and its reserved memory to the engine's load until the
// returned function is called.
func (e *Engine) BeginRequest(memory ident.Tokens) (end func()) {
	e.addLoad(1, memory, 0)
	return sync.OnceFunc(func() { e.addLoad(-1, -memory, 0) })
}

// BeginPrefill adds a prefill to the engine's load until the returned function is
// called.
func (e *Engine) BeginPrefill(prompt ident.Tokens) (end func()) {
	e.addLoad(1, 0, prompt)
	return sync.OnceFunc(func() { e.addLoad(-1, 0, -prompt) })
}

// addLoad adds to the load; negative values reduce it.
func (e *Engine) addLoad(running int, memory, prefill ident.Tokens) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += running
	e.reserved += memory
	e.prefillTokens += prefill
}

// queueDelayWeight is the weight of the newest measurement of a queueing delay.
const queueDelayWeight = 0.6

// RecordQueueDelay records how long a prompt waited at the engine before its prefill.
func (e *Engine) RecordQueueDelay(d time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.remainingQueueDelay(now)
	e.queueDelay = old + time.Duration(queueDelayWeight*float64(d-old))
	e.queueDelayAt = now
}

// QueueDelay estimates how long a prompt would wait at the engine before its prefill.
func (e *Engine) QueueDelay(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.remainingQueueDelay(now)
}

// remainingQueueDelay returns what is left of the queueing delay: a queue shortens as time
// passes. The caller must hold mu.
func (e *Engine) remainingQueueDelay(now time.Time) time.Duration {
	return max(0, e.queueDelay-now.Sub(e.queueDelayAt))
}

// Load is the open work of this instance at an engine.
type Load struct {
	Running int          // Requests.
	Memory  ident.Tokens // Reserved memory.
	Prefill ident.Tokens // Prompt tokens of prefills.
}

// Load returns the open work of this instance at the engine.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{e.running, e.reserved, e.prefillTokens}
}

// MarkFull excludes the engine for requests of the given size or larger until a time.
func (e *Engine) MarkFull(size ident.Tokens, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fullUntil, e.refusedSize = until, size
}

// HasCapacity reports whether the engine may have capacity for the given size: it is
// not marked as full, or only for larger sizes.
func (e *Engine) HasCapacity(size ident.Tokens, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !now.Before(e.fullUntil) || size < e.refusedSize
}

// Usable reports whether the engine may get new requests: it is ready according to the
// latest list that this instance has received, has not announced that it leaves, and its
// failure domain is not evacuated.
func (e *Engine) Usable() bool { return !e.IsLeaving() && !e.IsEvacuated() }

// IsLeaving reports whether the engine accepts no new requests until it ends, or has ended.
func (e *Engine) IsLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.removed || e.announcedLeaving || e.state != Ready
}

// MarkStageChange excludes the engine from new requests until its stage is to, or until
// the given time, whichever comes first.
func (e *Engine) MarkStageChange(to Stage, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextStage, e.stageChangeUntil = to, until
}

// IsChangingStage reports whether the engine is excluded by MarkStageChange.
func (e *Engine) IsChangingStage(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stage != e.nextStage && now.Before(e.stageChangeUntil)
}

// CurrentStage returns the stage in the latest entry.
func (e *Engine) CurrentStage() Stage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stage
}

// Revision returns the revision of the list at which the engine last changed.
func (e *Engine) Revision() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision
}

// CurrentEntry returns the latest entry of the engine.
func (e *Engine) CurrentEntry() Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := e.Entry
	entry.State, entry.Stage, entry.ListRevision = e.state, e.stage, e.revision
	entry.Cold, entry.ColdRemaining = e.cold, e.remainingCold()
	return entry
}

// update applies a newer entry of the same run, and reports whether the engine's state
// or stage changed, or it has become cold again.
func (e *Engine) update(newer Entry) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := e.state != newer.State || e.stage != newer.Stage || e.cold != newer.Cold
	if newer.Cold > 0 && newer.ListRevision > e.revision {
		changed = true
	}
	if e.becomesCold(newer) {
		e.coldUntil = max(e.coldUntil, boottime.Now().Add(newer.ColdRemaining))
	}
	e.cold = newer.Cold
	e.state, e.stage, e.revision = newer.State, newer.Stage, newer.ListRevision
	return changed
}

// markRemoved marks an engine that is no longer listed or was replaced by a new run.
func (e *Engine) markRemoved() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removed = true
}

// relist applies an entry by which a run that had ended is listed again. What it has announced holds,
// unless its start is not known: it may be another run then.
func (e *Engine) relist(newer Entry) {
	e.update(newer)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removed = false
	if newer.Started == 0 {
		e.announcedLeaving, e.pausedUntil = false, time.Time{}
	}
}
