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

// handleKV serves GET /v1/kv/{id}, with which a decode engine pulls a prefill result.
// If the transfer fails, the result stays in memory until it is aborted.
func (e *Engine) handleKV(w http.ResponseWriter, r *http.Request) {
	result, ok := e.beginPull(r.PathValue("id"))
	if !ok {
		control.WriteJSON(w, http.StatusNotFound, ErrorResponse{Error: "no such prefill result"})
		return
	}
	size := int64(result.request.Prompt.Len()) * int64(e.cfg.bytesPerToken)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	stop := context.AfterFunc(result.ctx, cancel)
	defer stop()
	if err := e.egress.transfer(ctx, size, e.stallFunc(r)); err != nil {
		panic(http.ErrAbortHandler)
	}
	if !e.finishPull(result) {
		panic(http.ErrAbortHandler)
	}
	<-result.done
	control.WriteJSON(w, http.StatusOK, KVResponse{
		RemoteRequestID: result.id,
		PromptHash:      result.request.Prompt.Hash(),
		Bytes:           size,
	})
}

// stallFunc returns a function that reports whether the fault StallTransfer currently
// stops the transfer of request r.
func (e *Engine) stallFunc(r *http.Request) func() bool {
	if _, hit := e.server.Faults.Trigger(control.StallTransfer, control.NewRequestInfo(r)); !hit {
		return func() bool { return false }
	}
	return func() bool { return e.server.Faults.Injected(control.StallTransfer) }
}

// beginPull marks a prefill result as being pulled, so that it no longer expires. It
// returns false if there is no such result.
func (e *Engine) beginPull(id string) (*activeRequest, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.active[id]
	if !ok || (a.record.Phase != AwaitingPull && a.record.Phase != Transfer) {
		return nil, false
	}
	a.pullStarted = true
	a.record.enterPhase(Transfer, time.Now())
	return a, true
}

// finishPull marks a prefill result as pulled. It returns false if another pull
// finished first or the request has ended.
func (e *Engine) finishPull(a *activeRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-a.pulled:
		return false
	case <-a.ctx.Done():
		return false
	default:
	}
	close(a.pulled)
	return true
}

// pull fetches the KV cache of a request from the engine that computed it. The
// transfer takes time on the egress link there and on the ingress link here.
func (e *Engine) pull(a *activeRequest) error {
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	var ingress sync.WaitGroup
	size := int64(a.request.Prompt.Len()) * int64(e.cfg.bytesPerToken)
	ingress.Go(func() { _ = e.ingress.transfer(ctx, size, func() bool { return false }) })
	kv, err := e.fetchKV(ctx, a.request.KVTransferParams)
	if err != nil {
		cancel()
	}
	ingress.Wait()
	if err != nil {
		return err
	}
	if kv.PromptHash != a.request.Prompt.Hash() {
		return fmt.Errorf("prefill result %q is of another prompt", kv.RemoteRequestID)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	a.record.PulledTokens = a.request.Prompt.Len()
	return context.Cause(a.ctx)
}

// fetchKV requests a prefill result from the engine that keeps it.
func (e *Engine) fetchKV(ctx context.Context, params TransferParams) (KVResponse, error) {
	var kv KVResponse
	host := net.JoinHostPort(params.RemoteHost, strconv.Itoa(params.RemotePort))
	address := "http://" + host + "/v1/kv/" + url.PathEscape(params.RemoteRequestID)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return kv, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return kv, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return kv, fmt.Errorf("transfer of %q: %s", params.RemoteRequestID, response.Status)
	}
	return kv, json.NewDecoder(response.Body).Decode(&kv)
}
