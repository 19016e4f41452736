// Package placement decides on which engines a request runs. It pairs a prefill
// engine with a decode engine, queues requests fairly by organisation, and refuses
// requests early that cannot meet their latency targets.
package placement

import (
	"strconv"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

//go:generate stringer -type=Phase,Result -output=placement_string.go

// LeaseID identifies the reservations of one attempt. It is also the request id of
// the attempt in engine calls.
type LeaseID string

// Request is one attempt at a caller's request, to be placed on engines.
type Request struct {
	ID                 ident.RequestID
	Attempt            int // Starts at 1; a resumed request has a higher number.
	Organisation       ident.OrganisationID
	Model              ident.ModelID
	PromptTokens       ident.Tokens // Tokens to prefill, including output tokens delivered by earlier attempts.
	MaxTokens          ident.Tokens // Maximum number of output tokens still to be generated.
	PrefixHashes       []string     // Hashes of the first 256 tokens, the first 512, and so on.
	FirstTokenDeadline time.Time    // Zero if the attempt has no first-token target.
	Deadline           time.Time
	Priority           text.Priority
	Avoid              []ident.EndpointID // Engines that failed in earlier attempts.
	Forwarded          bool               // Set if another domain redirected it; it is not redirected again.
}

// LeaseID returns the lease id of the attempt.
func (r Request) LeaseID() LeaseID {
	return LeaseID(string(r.ID) + "." + strconv.Itoa(r.Attempt))
}

// cost returns the number of tokens charged for the request in the fair queue; its
// decode memory is reserved for the same number.
func (r Request) cost() ident.Tokens { return r.PromptTokens + r.MaxTokens }

// maxTokens bounds each token count of a request, so that sums of counts don't overflow.
const maxTokens ident.Tokens = 1_000_000_000

// check returns an error of kind BadRequest if a field is out of range.
func (r Request) check() error {
	switch {
	case r.ID == "" || r.Attempt < 1:
		return fault.New(fault.BadRequest, "request has no id or attempt")
	case r.PromptTokens < 1 || r.MaxTokens < 0 || r.PromptTokens > maxTokens || r.MaxTokens > maxTokens:
		return fault.New(fault.BadRequest, "request has %d prompt tokens and %d output tokens; at least 1 and 0 and at most %d are required", r.PromptTokens, r.MaxTokens, maxTokens)
	case r.Deadline.IsZero():
		return fault.New(fault.BadRequest, "request has no deadline")
	}
	return nil
}

// avoids reports whether the engine is excluded for the request.
func (r Request) avoids(id ident.EndpointID) bool {
	for _, a := range r.Avoid {
		if a == id {
			return true
		}
	}
	return false
}

// Phase is the progress of an attempt.
type Phase int

// Phases of an attempt.
const (
	Prefilling Phase = iota
	Decoding
)

// Result is how an attempt ended.
type Result int

// Results of an attempt. Cancelled says nothing about the engines.
const (
	Completed Result = iota
	Cancelled
	PrefillFailed
	TransferFailed
	DecodeFailed
)

// Outcome is the result of an ended attempt.
type Outcome struct {
	Result       Result
	OutputTokens ident.Tokens // Number of tokens decoded.
}

// Grant identifies the engines reserved for a request.
type Grant struct {
	Lease      LeaseID
	Domain     ident.DomainID
	Prefill    ident.EndpointID
	Decode     ident.EndpointID
	FirstToken time.Time // Predicted time.
}

// Decision is the dispatcher's answer to a submitted request. Exactly one field is
// set: a grant, another domain to send the request to, or an error.
type Decision struct {
	Grant      *Grant
	RedirectTo ident.DomainID
	Err        error
}

// LeaseRecord describes an open lease. A new dispatcher restores leases from
// these records.
type LeaseRecord struct {
	Lease        LeaseID
	Holder       ident.InstanceID
	Organisation ident.OrganisationID
	Prefill      ident.EndpointID
	Decode       ident.EndpointID
	PromptTokens ident.Tokens
	MaxTokens    ident.Tokens
	Phase        Phase
	Deadline     time.Time
}

// check returns an error of kind BadRequest if a field is out of range.
func (h LeaseRecord) check() error {
	inRange := func(n ident.Tokens) bool { return n >= 0 && n <= maxTokens }
	if h.Lease == "" || !inRange(h.PromptTokens) || !inRange(h.MaxTokens) {
		return fault.New(fault.BadRequest, "lease %.80q has %d prompt tokens and %d output tokens; an id and 0 to %d are required", h.Lease, h.PromptTokens, h.MaxTokens, maxTokens)
	}
	return nil
}

// Load is a load report of an engine. It lags behind the actual load.
type Load struct {
	Running    int
	Waiting    int
	PiecesUsed ident.Pieces
	Reported   time.Time
}
