package platformsoak

import (
	"fmt"
	"time"
)

//go:generate stringer -type=Promise -output=finding_string.go

// Promise is a guarantee of monsoonfork that the soak checks.
type Promise int

// The promises.
const (
	RunsOnce                Promise = iota // A request that may run at most once ran at most once.
	RefusalsAreTrue                        // A request that was refused as not run has not run.
	AnswersAreWhole                        // A successful answer is the engine's complete answer to this request.
	RunsForOwnOrganisation                 // A request runs only for the organisation of its key.
	EnginesSeeNoKey                        // Engines receive no caller's key, nor a header that callers may not set.
	LeavingGetsNoWork                      // A leaving engine gets no work later than drainTime after it announced that.
	ChangesAreInForce                      // A change is in force within applyTime, and stays in force in a process.
	RatesHold                              // Organisations get no more than their quota, summed over all instances.
	WorkEndsWithItsCaller                  // An engine stops its work when the caller has disconnected.
	PlannedStopCutsNone                    // A planned stop cuts no request and ends in time.
	ProcessesLive                          // No instance exits unexpectedly.
	Recovers                               // Requests are served again after the faults.
	RequestsAreAnswered                    // A request that was passed on to engines without a fault only is answered.
	RetryAfterIsKept                       // An engine that turned a request away gets almost no others from the instance before the time that it gave.
	MemoryIsBounded                        // No instance uses more than maxResidentBytes.
	HeldRequestsAreAnswered                // A whole request on a connection that was held open is answered or refused.
	MembersAgree                           // After the faults each instance counts all others as live, and no process that has ended.
	DeadlyPromptsAreHeld                   // Prompts with a part that has crashed engines are kept from them.
	EnginesAreFree                         // After the run no engine holds requests or memory.
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

// addFinding records a broken promise.
func (r *run) addFinding(p Promise, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, Finding{p, time.Since(r.start), fmt.Sprintf(format, args...)})
}
