// Package operator serves operators and the platform's balancer, and calls
// daemons on operators' behalf.
package operator

import (
	"time"

	"monsoonfork/core/config/relay"
	"monsoonfork/core/ident"
	"monsoonfork/core/orders"
	"monsoonfork/core/strictyaml"
	"monsoonfork/core/text"
)

// RevisionHeader carries the revision of the answer to GET /text.
const RevisionHeader = "X-Revision"

// Status is the answer to GET /status.
type Status struct {
	Instance   ident.InstanceID
	Domain     ident.DomainID
	Started    time.Time
	Ready      bool
	NotReady   string // Why it is not ready.
	Config     relay.Status
	Keys       KeyStatus
	Orders     orders.Status
	Violations int64 // Invariants violated in this process.
}

// KeyStatus says what this instance does with keys.
type KeyStatus struct {
	CutOffKeys   text.CutOffKeys
	ConfirmedMS  int64 // Milliseconds since the store confirmed the newest revision; -1 if never.
	RefusesKeyed bool  // Refuses keyed requests now, because it is cut off.
}

// Plan is the answer to POST /plan.
type Plan struct {
	Revision ident.Revision // The revision compared with, to be given as the base.
	Problems strictyaml.Problems
	Changes  []text.Change
}

// ErrorAnswer is the body of an answer that says what went wrong.
type ErrorAnswer struct {
	Kind         string
	Ran          string
	Message      string
	Problems     strictyaml.Problems `json:",omitempty"`
	RetryAfterMS int64               `json:",omitempty"`
}

// Faults is the body of POST /faults.
type Faults struct {
	CutDomains []ident.DomainID // Links to these domains are cut; empty heals all.
}
