// Package engines holds the engines that an instance knows of and what its own
// calls have taught it about each.
package engines

import (
	"math"
	"sync"
	"time"

	"monsoonfork/core/ident"
)

//go:generate stringer -type=State,Stage -output=engines_string.go

// State says whether an engine takes work.
type State int

// The states.
const (
	Ready State = iota
	Leaving
)

// Stage is the part of a request that a model engine serves.
type Stage int

// The stages.
const (
	AnyStage Stage = iota // A plain service, or an engine without pools.
	Prefill
	Decode
)

// Entry is what the platform's list says of an engine. State, Stage and
// AsOf change while it runs, the other fields do not.
type Entry struct {
	ID      ident.EndpointID
	Service ident.ServiceID
	Address ident.Address
	Domain  ident.DomainID
	Slots   int
	State   State
	Stage   Stage
	Started int64 // Unix milliseconds of its start; 0 if unknown.
	AsOf    int64 // Of the list, when this entry changed.
}

// Engine is one run of an engine and what is known of it. The fields of Entry
// are those of the first news; see Now.
type Engine struct {
	Entry

	mu        sync.Mutex
	gone      bool
	state     State
	stage     Stage
	revision  int64
	answers   doubt         // Whether it answers well.
	fetches   doubt         // Whether prompts can be moved to it.
	running   int           // Own requests at the engine.
	memory    ident.Tokens  // Own reservations.
	prefill   ident.Tokens  // Prompt tokens of own prefills under way.
	delay     time.Duration // Time that prompts waited before they were read.
	delayAt   time.Time
	changesTo Stage     // Stage that it is about to have.
	sparedTo  time.Time // It gets no work until then, unless it has that stage.
	fullUntil time.Time
	fullFor   ident.Tokens // Size that was refused last.
}

// Succeeded notes a good answer.
func (e *Engine) Succeeded(now time.Time) { e.note(&e.answers, 0, softWeight, now) }

// Failed notes an answer that says that the engine failed.
func (e *Engine) Failed(now time.Time) { e.note(&e.answers, 1, softWeight, now) }

// Silent notes a call that got no answer.
func (e *Engine) Silent(now time.Time) { e.note(&e.answers, 1, hardWeight, now) }

// Fetched notes whether a prompt was moved to the engine.
func (e *Engine) Fetched(ok bool, now time.Time) {
	if ok {
		e.note(&e.fetches, 0, hardWeight, now)
	} else {
		e.note(&e.fetches, 1, hardWeight, now)
	}
}

// note moves a doubt towards a value.
func (e *Engine) note(d *doubt, value, weight float64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d.note(value, weight, now)
}

// Doubt returns how likely the engine fails, from 0 to 1.
func (e *Engine) Doubt(now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answers.now(now)
}

// FetchDoubt returns how likely a prompt can't be moved to the engine, from 0 to 1.
func (e *Engine) FetchDoubt(now time.Time) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fetches.now(now)
}

// Begin counts a request at the engine until the returned function is called.
func (e *Engine) Begin(memory ident.Tokens) (end func()) {
	e.add(1, memory, 0)
	return sync.OnceFunc(func() { e.add(-1, -memory, 0) })
}

// BeginPrefill counts a prefill at the engine until the returned function is
// called.
func (e *Engine) BeginPrefill(prompt ident.Tokens) (end func()) {
	e.add(1, 0, prompt)
	return sync.OnceFunc(func() { e.add(-1, 0, -prompt) })
}

// add changes the counts.
func (e *Engine) add(running int, memory, prefill ident.Tokens) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running += running
	e.memory += memory
	e.prefill += prefill
}

const (
	// delayHalfLife is the time in which a queue that was seen falls to a half in
	// the estimate.
	delayHalfLife = 700 * time.Millisecond
	// delayWeight is how much the newest wait counts.
	delayWeight = 0.6
)

// Waited notes how long a prompt waited before it was read.
func (e *Engine) Waited(d time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.decayedDelay(now)
	e.delay = old + time.Duration(delayWeight*float64(d-old))
	e.delayAt = now
}

// Wait returns how long a prompt is likely to wait before it is read.
func (e *Engine) Wait(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.decayedDelay(now)
}

// decayedDelay returns the estimate now. The caller holds mu.
func (e *Engine) decayedDelay(now time.Time) time.Duration {
	return time.Duration(float64(e.delay) * math.Exp2(-float64(now.Sub(e.delayAt))/float64(delayHalfLife)))
}

// Load is this instance's own work at an engine.
type Load struct {
	Running int
	Memory  ident.Tokens
	Prefill ident.Tokens
}

// Load returns the own work at the engine.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Load{e.running, e.memory, e.prefill}
}

// Refused notes that the engine has no room for a size until a time.
func (e *Engine) Refused(size ident.Tokens, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fullUntil, e.fullFor = until, size
}

// HasRoom reports whether the engine may have room for a size.
func (e *Engine) HasRoom(size ident.Tokens, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !now.Before(e.fullUntil) || size < e.fullFor
}

// Usable reports whether the engine may be sent work: it is ready by the list
// as this instance knows it now.
func (e *Engine) Usable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.gone && e.state == Ready
}

// Spare notes that the engine is about to change its stage, and gets no work until
// it has, or until a time.
func (e *Engine) Spare(to Stage, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changesTo, e.sparedTo = to, until
}

// IsSpared reports whether the engine is changing its stage.
func (e *Engine) IsSpared(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stage != e.changesTo && now.Before(e.sparedTo)
}

// StageNow returns the stage of the engine.
func (e *Engine) StageNow() Stage {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stage
}

// Revision returns the revision of the newest news of the engine.
func (e *Engine) Revision() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision
}

// Now returns the entry as of the newest news.
func (e *Engine) Now() Entry {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := e.Entry
	entry.State, entry.Stage, entry.AsOf = e.state, e.stage, e.revision
	return entry
}

// sameRun reports whether an entry speaks of the same run of the engine.
func (e *Engine) sameRun(n Entry) bool {
	return e.Started == n.Started && e.Address == n.Address && e.Service == n.Service && e.Domain == n.Domain && e.Slots == n.Slots
}

// update takes newer news, and reports whether the engine's state or stage
// changed.
func (e *Engine) update(n Entry) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := e.state != n.State || e.stage != n.Stage
	e.state, e.stage, e.revision = n.State, n.Stage, n.AsOf
	return changed
}

// leave marks an engine that the list no longer has, or that was replaced.
func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
}
