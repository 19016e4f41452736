package soak

import (
	"fmt"
	"sync"
	"time"
)

// Promise is a guarantee of monsoonfork that the soak checks.
type Promise int

//go:generate stringer -type=Promise -output=finding_string.go

// The promises that are checked.
const (
	AnswersAreRight        Promise = iota // No answer that is incorrect, truncated or for another request looks complete.
	RunsAtMostOnce                        // A booking, cancellation or order runs once at most.
	NotRunIsTrue                          // No endpoint has seen a request that was refused as not run.
	KeysStayInside                        // No endpoint ever receives a caller's key.
	MemoryIsFreed                         // No engine holds memory for a request that has ended.
	RatesHold                             // No organisation is admitted more than its rate and burst.
	OrdersDoNotOverlap                    // No stale or overlapping order takes effect at an engine.
	ProcessesLive                         // No instance exits unexpectedly, for instance on a broken invariant.
	PlannedStopCutsNone                   // A planned stop succeeds in time and cuts no answer.
	InstancesBecomeReady                  // A started instance becomes ready.
	WithdrawnKeysStop                     // A withdrawn key stops working within inForceBound.
	EditsAreAccepted                      // An edit is accepted within editTimeout, also during faults of the store.
	EditsAreInForce                       // An accepted edit is in force within inForceBound.
	EditsAreNotLost                       // Concurrent edits never undo an accepted one.
	RevisionNeverFalls                    // The revision in force never falls within one process.
	LeavingGetsNoWork                     // A leaving endpoint gets no new work from inForceBound after the edit.
	RunsForOwnOrganisation                // A keyed request runs only for the key's organisation.
	AnswersAreNotCut                      // No answer ends early without an error event, except at a killed or paused instance.
)

// Finding is one broken promise.
type Finding struct {
	Promise Promise
	At      time.Duration // Since the start of the run.
	Detail  string
}

// String returns the finding in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s at %.1fs: %s", f.Promise, f.At.Seconds(), f.Detail)
}

// findings collects the findings of a run.
type findings struct {
	start time.Time

	mu   sync.Mutex
	list []Finding
}

// add records a broken promise.
func (f *findings) add(p Promise, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, Finding{Promise: p, At: time.Since(f.start), Detail: fmt.Sprintf(format, args...)})
}

// all returns all findings.
func (f *findings) all() []Finding {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Finding(nil), f.list...)
}
