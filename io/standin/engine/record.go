package engine

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"monsoonfork/io/standin/control"
)

// PhaseChange says when a request entered a phase.
type PhaseChange struct {
	Phase  Phase `json:"Phase"`
	UnixMS int64 `json:"UnixMS"`
}

// RequestRecord is all that is known of one request.
type RequestRecord struct {
	RID           string        `json:"RID"`
	Holder        string        `json:"Holder"`
	Model         string        `json:"Model"`
	PromptHash    string        `json:"PromptHash"`
	PromptTokens  int           `json:"PromptTokens"`
	MaxTokens     int           `json:"MaxTokens"`
	ContinueFrom  int           `json:"ContinueFrom"` // Tokens that were delivered before.
	Priority      int           `json:"Priority"`
	Prefill       bool          `json:"Prefill"` // Whether only the prefill was asked for.
	Phase         Phase         `json:"Phase"`
	Phases        []PhaseChange `json:"Phases"`
	Pieces        int           `json:"Pieces"` // Held now.
	CachedTokens  int           `json:"CachedTokens"`
	PrefillTokens int           `json:"PrefillTokens"` // Computed here.
	PulledTokens  int           `json:"PulledTokens"`  // Got from another engine.
	OutputTokens  int           `json:"OutputTokens"`
	Ending        Ending        `json:"Ending"`
	Error         string        `json:"Error,omitempty"`
	StartedUnixMS int64         `json:"StartedUnixMS"`
	EndedUnixMS   int64         `json:"EndedUnixMS"` // 0 while it is held.
}

// newRequestRecord returns the record of a request that has just come.
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
	r.enter(Waiting, now)
	return r
}

// enter notes a change of phase.
func (r *RequestRecord) enter(p Phase, now time.Time) {
	r.Phase = p
	r.Phases = append(r.Phases, PhaseChange{Phase: p, UnixMS: now.UnixMilli()})
}

// end notes how the request ended.
func (r *RequestRecord) end(err error, now time.Time) {
	r.enter(Ended, now)
	r.Pieces = 0
	r.EndedUnixMS = now.UnixMilli()
	switch {
	case err == nil:
		r.Ending = Finished
		return
	case errors.Is(err, errAborted):
		r.Ending = Aborted
	case errors.Is(err, errExpired):
		r.Ending = Expired
	default:
		r.Ending = Failed
	}
	r.Error = err.Error()
}

// Counts are sums over all requests.
type Counts struct {
	PrefillTokens       int64 `json:"PrefillTokens"`
	WastedPrefillTokens int64 `json:"WastedPrefillTokens"` // Computed here, never pulled or decoded.
	PulledNeverDecoded  int64 `json:"PulledNeverDecoded"`  // Pulled to here, with no token decoded.
	OutputTokens        int64 `json:"OutputTokens"`
}

// Record is what the engine has counted.
type Record struct {
	Name       string          `json:"Name"`
	Role       Role            `json:"Role"`
	Requests   []RequestRecord `json:"Requests"`
	Held       []HeldRequest   `json:"Held"`
	PiecesUsed int             `json:"PiecesUsed"`
	Counts     Counts          `json:"Counts"`
	Orders     []OrderRecord   `json:"Orders"`
}

// Record returns what the engine has counted so far.
func (e *Engine) Record() Record {
	_, _, used := e.admission.state()
	record := Record{
		Name:       e.cfg.name,
		Role:       e.orders.roleNow(),
		Held:       e.held(),
		PiecesUsed: used,
		Orders:     e.orders.recorded(),
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
