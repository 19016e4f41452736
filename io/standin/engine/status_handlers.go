package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"monsoonfork/io/standin/control"
)

// handleAbort serves POST /abort_request. It responds after the slot and memory of
// the request have been released.
func (e *Engine) handleAbort(w http.ResponseWriter, r *http.Request) {
	var request AbortRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.RID == "" {
		control.WriteJSON(w, http.StatusBadRequest, ErrorResponse{Error: "rid is missing"})
		return
	}
	e.mu.Lock()
	active, ok := e.active[request.RID]
	e.mu.Unlock()
	if ok {
		active.cancel(errAborted)
		<-active.done
	}
	control.WriteJSON(w, http.StatusOK, AbortResponse{RID: request.RID, Aborted: ok})
}

// handleRequests serves GET /requests.
func (e *Engine) handleRequests(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, RequestsResponse{Requests: e.heldRequests()})
}

// heldRequests returns the requests that have not ended.
func (e *Engine) heldRequests() []HeldRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	requests := make([]HeldRequest, 0, len(e.active))
	for _, a := range e.active {
		requests = append(requests, HeldRequest{
			RequestID:     a.id,
			Holder:        a.record.Holder,
			Phase:         a.record.Phase,
			Pieces:        a.record.Pieces,
			StartedUnixMS: a.record.StartedUnixMS,
		})
	}
	return requests
}

// handleLoad serves GET /load with the last load report.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	response := e.loadReport
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, response)
}

// handleEvents serves GET /kv_events. A missing or invalid parameter after means 0.
func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	control.WriteJSON(w, http.StatusOK, e.cache.eventsAfter(after, time.Now()))
}
