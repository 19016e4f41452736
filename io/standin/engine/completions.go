package engine

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"

	"monsoonfork/io/standin/control"
)

// Reasons that end an answer.
const finishLength = "length"

// handleCompletions serves POST /v1/completions.
func (e *Engine) handleCompletions(w http.ResponseWriter, r *http.Request) {
	var request CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		control.WriteJSON(w, http.StatusBadRequest, ErrorAnswer{Error: err.Error()})
		return
	}
	id := r.Header.Get("X-Request-Id")
	if status, text := e.check(id, request); text != "" {
		control.WriteJSON(w, status, ErrorAnswer{Error: text})
		return
	}
	started, err := e.newWork(id, r.Header.Get("X-Holder"), request)
	if err != nil {
		control.WriteJSON(w, http.StatusConflict, ErrorAnswer{Error: err.Error()})
		return
	}
	e.start(started)
	switch {
	case request.isPrefill():
		e.answerPrefill(w, r, started)
	case request.Stream:
		e.answerStream(w, r, started)
	default:
		e.answerWhole(w, r, started)
	}
}

// check returns a status and text when the request can't be served.
func (e *Engine) check(id string, request CompletionRequest) (status int, text string) {
	if id == "" {
		return http.StatusBadRequest, "X-Request-Id is missing"
	}
	if !e.orders.serves(request.Model) {
		return http.StatusNotFound, "model is not loaded"
	}
	if request.isPrefill() != (e.orders.roleNow() == PrefillRole) {
		return http.StatusConflict, "the engine serves the other phase"
	}
	if e.piecesFor(request) > e.cfg.pieces {
		return http.StatusBadRequest, "the request is larger than the memory"
	}
	return 0, ""
}

// answerPrefill waits until the prefill is done and tells where its result is.
func (e *Engine) answerPrefill(w http.ResponseWriter, r *http.Request, done *work) {
	select {
	case <-done.kept:
	case <-done.ended:
		e.answerError(w, done)
		return
	}
	id := done.id
	if crossed, hit := e.crossed(r, done); hit {
		id = crossed.id
	}
	host, port := e.hostPort()
	e.mu.Lock()
	usage := Usage{PromptTokens: done.request.Prompt.Len(), CachedPromptTokens: done.record.CachedTokens}
	e.mu.Unlock()
	control.WriteJSON(w, http.StatusOK, PrefillAnswer{
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

// hostPort returns where other engines reach this one.
func (e *Engine) hostPort() (host string, port int) {
	host, text, _ := net.SplitHostPort(e.Address())
	port, _ = strconv.Atoi(text)
	return host, port
}

// answerWhole waits for all tokens and answers at once.
func (e *Engine) answerWhole(w http.ResponseWriter, r *http.Request, done *work) {
	shown := e.shown(r, done)
	var tokens []int
	for range done.tokens {
		tokens = append(tokens, shown.token(len(tokens)))
	}
	<-done.ended
	if len(tokens) < done.request.MaxTokens {
		e.answerError(w, done)
		return
	}
	reason := finishLength
	control.WriteJSON(w, http.StatusOK, Completion{
		ID:      shown.id,
		Choices: []Choice{{Text: textOf(tokens), TokenIDs: tokens, FinishReason: &reason}},
		Usage:   usageOf(done, len(tokens)),
	})
}

// textOf returns the text of tokens.
func textOf(tokens []int) string {
	var b strings.Builder
	for _, token := range tokens {
		b.WriteString(TokenText(token))
	}
	return b.String()
}

// usageOf returns the usage of an answer of n tokens.
func usageOf(w *work, n int) *Usage {
	return &Usage{PromptTokens: w.request.Prompt.Len(), CompletionTokens: n}
}

// answerError answers for a request that ended without a result.
func (e *Engine) answerError(w http.ResponseWriter, ended *work) {
	<-ended.ended
	e.mu.Lock()
	err := ended.err
	e.mu.Unlock()
	text := "ended"
	if err != nil {
		text = err.Error()
	}
	control.WriteJSON(w, http.StatusBadGateway, ErrorAnswer{Error: text})
}
