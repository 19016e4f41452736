package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"monsoonfork/io/standin/control"
)

// handleKV serves GET /v1/kv/{id}: another engine pulls a prefill result. A
// transfer that breaks leaves the result in memory until it is aborted.
func (e *Engine) handleKV(w http.ResponseWriter, r *http.Request) {
	kept, ok := e.beginPull(r.PathValue("id"))
	if !ok {
		control.WriteJSON(w, http.StatusNotFound, ErrorAnswer{Error: "no such prefill result"})
		return
	}
	size := int64(kept.request.Prompt.Len()) * int64(e.cfg.bytesPerToken)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := context.AfterFunc(kept.ctx, cancel)
	defer stop()
	if err := e.egress.transfer(ctx, size, e.stall(r)); err != nil {
		panic(http.ErrAbortHandler)
	}
	if !e.finishPull(kept) {
		panic(http.ErrAbortHandler)
	}
	<-kept.ended
	control.WriteJSON(w, http.StatusOK, KVAnswer{
		RemoteRequestID: kept.id,
		PromptHash:      kept.request.Prompt.Hash(),
		Bytes:           size,
	})
}

// stall returns a function that reports whether a fault stops the transfer.
func (e *Engine) stall(r *http.Request) func() bool {
	if _, hit := e.server.Faults.Take(control.StallTransfer, control.RequestOf(r)); !hit {
		return func() bool { return false }
	}
	return func() bool { return e.server.Faults.Present(control.StallTransfer) }
}

// beginPull marks a prefill result as being pulled.
func (e *Engine) beginPull(id string) (*work, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w, ok := e.works[id]
	if !ok || (w.record.Phase != Kept && w.record.Phase != Transfer) {
		return nil, false
	}
	w.pullStarted = true
	w.record.enter(Transfer, time.Now())
	return w, true
}

// finishPull marks a prefill result as pulled. It fails when another pull was
// first or the request has ended.
func (e *Engine) finishPull(w *work) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-w.pulled:
		return false
	case <-w.ctx.Done():
		return false
	default:
	}
	close(w.pulled)
	return true
}

// pull gets the KV cache of a request from the engine that computed it, over
// both engines' links.
func (e *Engine) pull(w *work) error {
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	var ingress sync.WaitGroup
	size := int64(w.request.Prompt.Len()) * int64(e.cfg.bytesPerToken)
	ingress.Go(func() { _ = e.ingress.transfer(ctx, size, func() bool { return false }) })
	answer, err := e.fetchKV(ctx, w.request.KVTransferParams)
	if err != nil {
		cancel()
	}
	ingress.Wait()
	if err != nil {
		return err
	}
	if answer.PromptHash != w.request.Prompt.Hash() {
		return fmt.Errorf("prefill result %q is of another prompt", answer.RemoteRequestID)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	w.record.PulledTokens = w.request.Prompt.Len()
	return context.Cause(w.ctx)
}

// fetchKV calls the engine that keeps the prefill result.
func (e *Engine) fetchKV(ctx context.Context, params TransferParams) (KVAnswer, error) {
	var answer KVAnswer
	host := net.JoinHostPort(params.RemoteHost, strconv.Itoa(params.RemotePort))
	address := "http://" + host + "/v1/kv/" + url.PathEscape(params.RemoteRequestID)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return answer, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("transfer of %q: %s", params.RemoteRequestID, response.Status)
	}
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}
