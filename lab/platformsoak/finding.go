package platformsoak

import (
	"fmt"
	"time"
)

//go:generate stringer -type=Promise -output=finding_string.go

// Promise is what must hold.
type Promise int

// The promises.
const (
	RunsOnce               Promise = iota // What may run once at most ran once at most.
	RefusalsAreTrue                       // What was refused as not run has not run.
	AnswersAreWhole                       // A success is its engine's whole answer to this request.
	RunsForOwnOrganisation                // Only for the organisation whose key came.
	EnginesSeeNoKey                       // Nor any header that callers may not set.
	LeavingGetsNoWork                     // Later than drainTime.
	ChangesAreInForce                     // Later than applyTime, and for good in a process.
	RatesHold                             // Over all instances.
	WorkEndsWithItsCaller                 // Engines stop when a caller has left.
	PlannedStopCutsNone                   // And ends in time.
	ProcessesLive                         // No instance ends by itself.
	Recovers                              // After the faults requests are served.
	EnginesAreFree                        // In the end no engine holds anything.
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

// find adds a finding.
func (r *run) find(p Promise, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, Finding{p, time.Since(r.start), fmt.Sprintf(format, args...)})
}
