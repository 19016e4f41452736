package soak

import (
	"fmt"
	"sync"
	"time"
)

// Promise is what a finding says was broken.
type Promise int

//go:generate stringer -type=Promise -output=finding_string.go

// The promises that are checked.
const (
	AnswersAreRight        Promise = iota // No wrong, truncated or crossed answer looks complete.
	RunsAtMostOnce                        // A booking, cancellation or order.
	NotRunIsTrue                          // No refused request was seen by an endpoint.
	KeysStayInside                        // No endpoint ever sees a key.
	MemoryIsFreed                         // Nothing is held for requests that have ended.
	RatesHold                             // No organisation gets more than rate and burst.
	OrdersDoNotOverlap                    // No stale or overlapping order takes effect.
	ProcessesLive                         // No instance ends by itself; its own invariants hold.
	PlannedStopCutsNone                   // A planned stop ends well.
	InstancesBecomeReady                  // A started instance becomes ready.
	WithdrawnKeysStop                     // A withdrawn key stops working within inForceBound.
	EditsAreAccepted                      // Within editTimeout, faults of the store included.
	EditsAreInForce                       // An accepted edit is in force within inForceBound.
	EditsAreNotLost                       // Racing edits never undo one that was accepted.
	RevisionNeverFalls                    // In one process.
	LeavingGetsNoWork                     // From inForceBound after the edit.
	RunsForOwnOrganisation                // A keyed request runs only for the key's organisation.
	AnswersAreNotCut                      // No answer ends without a sign of it, but for a killed instance.
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

// findings collects findings.
type findings struct {
	start time.Time

	mu   sync.Mutex
	list []Finding
}

// add adds a finding.
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
