// Package placement decides on which engines a request runs. It pairs a
// prefill engine with a decode engine, queues fairly by organisation, and
// refuses early what cannot meet its targets.
package placement

import (
	"strconv"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

//go:generate stringer -type=Phase,Result -output=placement_string.go

// LeaseID names the reservations of one attempt. Engines see the same value as
// the request id of the attempt.
type LeaseID string

// Request is one attempt of a caller's request that needs engines.
type Request struct {
	ID                 ident.RequestID
	Attempt            int // From 1; a resumed request has a higher one.
	Organisation       ident.OrganisationID
	Model              ident.ModelID
	PromptTokens       ident.Tokens // To prefill, tokens already delivered included.
	MaxTokens          ident.Tokens // Longest rest of the answer.
	PrefixHashes       []string     // Of the first 256 tokens, 512 and so on.
	FirstTokenDeadline time.Time    // Zero when no target is left to meet.
	Deadline           time.Time
	Priority           text.Priority
	Avoid              []ident.EndpointID // Engines that failed in earlier attempts.
	Forwarded          bool               // Set when another domain passed it on.
}

// LeaseID returns the id of the attempt's lease.
func (r Request) LeaseID() LeaseID {
	return LeaseID(string(r.ID) + "." + strconv.Itoa(r.Attempt))
}

// cost returns the tokens that the request is charged in the fair queue.
func (r Request) cost() ident.Tokens { return r.PromptTokens + r.MaxTokens }

// check returns an error of kind BadRequest if a field is out of range.
func (r Request) check() error {
	switch {
	case r.ID == "" || r.Attempt < 1:
		return fault.New(fault.BadRequest, "request has no id or attempt")
	case r.PromptTokens < 1 || r.MaxTokens < 0:
		return fault.New(fault.BadRequest, "request has %d prompt and %d answer tokens", r.PromptTokens, r.MaxTokens)
	case r.Deadline.IsZero():
		return fault.New(fault.BadRequest, "request has no deadline")
	}
	return nil
}

// avoids reports whether the request must not run on the engine.
func (r Request) avoids(id ident.EndpointID) bool {
	for _, a := range r.Avoid {
		if a == id {
			return true
		}
	}
	return false
}

// Phase is how far an attempt has come.
type Phase int

// The phases.
const (
	Prefilling Phase = iota
	Decoding
)

// Result says how an attempt ended.
type Result int

// The results.
const (
	Completed Result = iota
	Cancelled
	PrefillFailed
	TransferFailed
	DecodeFailed
)

// Outcome is the end of an attempt.
type Outcome struct {
	Result       Result
	OutputTokens ident.Tokens // Tokens that were decoded.
}

// Grant names the engines that a request may use.
type Grant struct {
	Lease      LeaseID
	Domain     ident.DomainID
	Prefill    ident.EndpointID
	Decode     ident.EndpointID
	FirstToken time.Time // Predicted.
}

// Decision answers a queued request: a grant, another domain to ask, or an
// error.
type Decision struct {
	Grant     *Grant
	Elsewhere ident.DomainID
	Err       error
}

// Held describes a lease to a dispatcher that has just started.
type Held struct {
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

// Load is one load report of an engine. It lags.
type Load struct {
	Running    int
	Waiting    int
	PiecesUsed ident.Pieces
	Reported   time.Time
}
