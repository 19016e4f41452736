// Package operator is the HTTP interface of a daemon for operators and for the
// health checks of the platform's balancer, and the client of that interface.
package operator

import (
	"time"

	"monsoonfork/core/config/relay"
	"monsoonfork/core/ident"
	"monsoonfork/core/orders"
	"monsoonfork/core/strictyaml"
	"monsoonfork/core/text"
)

// RevisionHeader is the header with the revision of the response to GET /text.
const RevisionHeader = "X-Revision"

// Status is the response to GET /status.
type Status struct {
	Instance       ident.InstanceID
	Domain         ident.DomainID
	Started        time.Time
	Ready          bool
	NotReadyReason string `json:"NotReady"` // Why the instance is not ready; empty if it is.
	Config         relay.Status
	Keys           KeyStatus
	Orders         orders.Status
	Violations     int64 // Number of invariant violations in this process.
}

// KeyStatus describes whether an instance accepts API keys.
type KeyStatus struct {
	CutOffKeys           text.CutOffKeys // Policy for an instance that is cut off from the store.
	SinceConfirmedMS     int64           `json:"ConfirmedMS"`  // Milliseconds since the store confirmed the newest revision; -1 if never.
	RefusesKeyedRequests bool            `json:"RefusesKeyed"` // Requests with an API key are refused now, because the instance is cut off from the store.
}

// Plan is the response to POST /plan.
type Plan struct {
	Revision ident.Revision // Revision in force that the text was compared with; pass it as the base to apply.
	Problems strictyaml.Problems
	Changes  []text.Change
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Kind         string
	Ran          string
	Message      string
	Problems     strictyaml.Problems `json:",omitempty"`
	RetryAfterMS int64               `json:",omitempty"`
}

// LinkFaults is the body of POST /faults.
type LinkFaults struct {
	CutDomains []ident.DomainID // Links to these domains are cut; an empty list restores all links.
}
