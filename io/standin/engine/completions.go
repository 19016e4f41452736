package engine

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"

	"monsoonfork/io/standin/control"
)

// finishLength is the finish reason of a completion with max_tokens tokens, the only
// one that occurs.
const finishLength = "length"

// handleCompletions serves POST /v1/completions.
func (e *Engine) handleCompletions(w http.ResponseWriter, r *http.Request) {
	var request CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		control.WriteJSON(w, http.StatusBadRequest, ErrorResponse{Error: err.Error()})
		return
	}
	id := r.Header.Get("X-Request-Id")
	if status, message := e.validate(id, request); message != "" {
		control.WriteJSON(w, status, ErrorResponse{Error: message})
		return
	}
	active, err := e.register(id, r.Header.Get("X-Holder"), request)
	if err != nil {
		control.WriteJSON(w, http.StatusConflict, ErrorResponse{Error: err.Error()})
		return
	}
	e.start(active)
	switch {
	case request.isPrefill():
		e.respondPrefill(w, r, active)
	case request.Stream:
		e.respondStream(w, r, active)
	default:
		e.respondWhole(w, r, active)
	}
}

// validate returns a status and error text if the request can't be served, and an
// empty text otherwise.
func (e *Engine) validate(id string, request CompletionRequest) (status int, message string) {
	if id == "" {
		return http.StatusBadRequest, "X-Request-Id is missing"
	}
	if !e.orders.serves(request.Model) {
		return http.StatusNotFound, "model is not loaded"
	}
	if request.isPrefill() != (e.orders.currentRole() == PrefillRole) {
		return http.StatusConflict, "the request does not match the role of the engine (prefill or decode)"
	}
	if e.piecesFor(request) > e.cfg.pieces {
		return http.StatusBadRequest, "the request is larger than the memory"
	}
	return 0, ""
}

// respondPrefill waits for the prefill and sends the parameters with which a decode
// engine can pull its result.
func (e *Engine) respondPrefill(w http.ResponseWriter, r *http.Request, active *activeRequest) {
	select {
	case <-active.prefillDone:
	case <-active.done:
		e.respondError(w, active)
		return
	}
	id := active.id
	if other, hit := e.crossedOutput(r, active); hit {
		id = other.id
	}
	host, port := e.hostPort()
	e.mu.Lock()
	usage := Usage{PromptTokens: active.request.Prompt.Len(), CachedPromptTokens: active.record.CachedTokens}
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, PrefillResponse{
		ID:    id,
		Usage: usage,
		KVTransferParams: TransferParams{
			DoRemotePrefill: true,
			RemoteRequestID: id,
			RemoteEngineID:  e.cfg.name,
			RemoteHost:      host,
			RemotePort:      port,
		},
	})
}

// hostPort returns the host and port under which other engines reach this one.
func (e *Engine) hostPort() (host string, port int) {
	host, portText, _ := net.SplitHostPort(e.Address())
	port, _ = strconv.Atoi(portText)
	return host, port
}

// respondWhole waits for all tokens and sends them in a single response.
func (e *Engine) respondWhole(w http.ResponseWriter, r *http.Request, active *activeRequest) {
	out := e.outputFor(r, active)
	var tokens []int
	for range active.tokens {
		tokens = append(tokens, out.token(len(tokens)))
	}
	<-active.done
	if len(tokens) < active.request.MaxTokens {
		e.respondError(w, active)
		return
	}
	reason := finishLength
	control.WriteJSON(w, http.StatusOK, Completion{
		ID:      out.id,
		Choices: []Choice{{Text: tokensText(tokens), TokenIDs: tokens, FinishReason: &reason}},
		Usage:   newUsage(active, len(tokens)),
	})
}

// tokensText returns the concatenated text of tokens.
func tokensText(tokens []int) string {
	var b strings.Builder
	for _, token := range tokens {
		b.WriteString(TokenText(token))
	}
	return b.String()
}

// newUsage returns the token counts of a completion of n tokens.
func newUsage(a *activeRequest, n int) *Usage {
	return &Usage{PromptTokens: a.request.Prompt.Len(), CompletionTokens: n}
}

// respondError waits until a request that failed has released its resources, then
// sends its error with status 502.
func (e *Engine) respondError(w http.ResponseWriter, active *activeRequest) {
	<-active.done
	e.mu.Lock()
	err := active.err
	e.mu.Unlock()
	message := "request ended without a result"
	if err != nil {
		message = err.Error()
	}
	control.WriteJSON(w, http.StatusBadGateway, ErrorResponse{Error: message})
}
