package engine

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"monsoonfork/io/standin/control"
)

// PhaseChange is the start of a phase of a request.
type PhaseChange struct {
	Phase  Phase `json:"Phase"`
	UnixMS int64 `json:"UnixMS"`
}

// RequestRecord is the record of one request, active or ended.
type RequestRecord struct {
	RID           string        `json:"RID"`
	Holder        string        `json:"Holder"`
	Model         string        `json:"Model"`
	PromptHash    string        `json:"PromptHash"`
	PromptTokens  int           `json:"PromptTokens"`
	MaxTokens     int           `json:"MaxTokens"`
	ContinueFrom  int           `json:"ContinueFrom"` // Number of completion tokens that the client already had.
	Priority      int           `json:"Priority"`
	Prefill       bool          `json:"Prefill"` // The request was for the prefill only.
	Phase         Phase         `json:"Phase"`
	Phases        []PhaseChange `json:"Phases"`
	Pieces        int           `json:"Pieces"` // Memory pieces held now.
	CachedTokens  int           `json:"CachedTokens"`
	PrefillTokens int           `json:"PrefillTokens"` // Prompt tokens computed by this engine.
	PulledTokens  int           `json:"PulledTokens"`  // Prompt tokens pulled from another engine.
	OutputTokens  int           `json:"OutputTokens"`
	Outcome       Outcome       `json:"Ending"`
	Error         string        `json:"Error,omitempty"`
	StartedUnixMS int64         `json:"StartedUnixMS"`
	EndedUnixMS   int64         `json:"EndedUnixMS"` // 0 until it ends.
}

// newRequestRecord returns the record of a request received at now.
func newRequestRecord(id, holder string, request CompletionRequest, now time.Time) *RequestRecord {
	r := &RequestRecord{
		RID:           id,
		Holder:        holder,
		Model:         request.Model,
		PromptHash:    request.Prompt.Hash(),
		PromptTokens:  request.Prompt.Len(),
		MaxTokens:     request.MaxTokens,
		ContinueFrom:  len(request.ContinueFrom),
		Priority:      request.Priority,
		Prefill:       request.isPrefill(),
		StartedUnixMS: now.UnixMilli(),
	}
	r.enterPhase(Waiting, now)
	return r
}

// enterPhase records a change of phase.
func (r *RequestRecord) enterPhase(p Phase, now time.Time) {
	r.Phase = p
	r.Phases = append(r.Phases, PhaseChange{Phase: p, UnixMS: now.UnixMilli()})
}

// finish records the end of the request; err is nil if it succeeded.
func (r *RequestRecord) finish(err error, now time.Time) {
	r.enterPhase(Ended, now)
	r.Pieces = 0
	r.EndedUnixMS = now.UnixMilli()
	switch {
	case err == nil:
		r.Outcome = Finished
		return
	case errors.Is(err, errAborted):
		r.Outcome = Aborted
	case errors.Is(err, errExpired):
		r.Outcome = Expired
	default:
		r.Outcome = Failed
	}
	r.Error = err.Error()
}

// Counts holds totals over all requests.
type Counts struct {
	PrefillTokens       int64 `json:"PrefillTokens"`
	WastedPrefillTokens int64 `json:"WastedPrefillTokens"` // Computed by this engine but not pulled or decoded.
	PulledNeverDecoded  int64 `json:"PulledNeverDecoded"`  // Pulled by requests that ended before their first token.
	OutputTokens        int64 `json:"OutputTokens"`
}

// Record holds the state of an engine and the records of all requests and orders.
type Record struct {
	Name       string          `json:"Name"`
	Role       Role            `json:"Role"`
	Requests   []RequestRecord `json:"Requests"`
	Held       []HeldRequest   `json:"Held"`
	PiecesUsed int             `json:"PiecesUsed"`
	Counts     Counts          `json:"Counts"`
	Orders     []OrderRecord   `json:"Orders"`
}

// Record returns the current state and the records so far.
func (e *Engine) Record() Record {
	_, _, used := e.admission.usage()
	record := Record{
		Name:       e.cfg.name,
		Role:       e.orders.currentRole(),
		Held:       e.heldRequests(),
		PiecesUsed: used,
		Orders:     e.orders.allRecords(),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	record.Counts = e.counts
	record.Requests = make([]RequestRecord, 0, len(e.records))
	for _, r := range e.records {
		copied := *r
		copied.Phases = slices.Clone(r.Phases)
		record.Requests = append(record.Requests, copied)
	}
	return record
}

// handleRecord serves GET /control/record.
func (e *Engine) handleRecord(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, e.Record())
}
