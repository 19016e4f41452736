package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"monsoonfork/io/standin/control"
)

// handleAbort serves POST /abort_request. When it answers, the memory is free.
func (e *Engine) handleAbort(w http.ResponseWriter, r *http.Request) {
	var request AbortRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.RID == "" {
		control.WriteJSON(w, http.StatusBadRequest, ErrorAnswer{Error: "rid is missing"})
		return
	}
	e.mu.Lock()
	running, ok := e.works[request.RID]
	e.mu.Unlock()
	if ok {
		running.cancel(errAborted)
		<-running.ended
	}
	control.WriteJSON(w, http.StatusOK, AbortAnswer{RID: request.RID, Aborted: ok})
}

// handleRequests serves GET /requests.
func (e *Engine) handleRequests(w http.ResponseWriter, _ *http.Request) {
	control.WriteJSON(w, http.StatusOK, RequestsAnswer{Requests: e.held()})
}

// held returns the requests that the engine holds now.
func (e *Engine) held() []HeldRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	requests := make([]HeldRequest, 0, len(e.works))
	for _, w := range e.works {
		requests = append(requests, HeldRequest{
			RID:           w.id,
			Holder:        w.record.Holder,
			Phase:         w.record.Phase,
			Pieces:        w.record.Pieces,
			StartedUnixMS: w.record.StartedUnixMS,
		})
	}
	return requests
}

// handleLoad serves GET /load.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	answer := e.reported
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, answer)
}

// handleEvents serves GET /kv_events.
func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	control.WriteJSON(w, http.StatusOK, e.cache.after(after, time.Now()))
}
