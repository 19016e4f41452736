package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// startEngine starts an engine, which is closed at the end of the test.
func startEngine(t *testing.T, options ...Option) *Engine {
	t.Helper()
	e := New(options...)
	if err := e.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// startPair starts a prefill engine and a decode engine.
func startPair(t *testing.T, options ...Option) (prefill, decode *Engine) {
	t.Helper()
	prefill = startEngine(t, append([]Option{WithRole(PrefillRole), WithName("p")}, options...)...)
	decode = startEngine(t, append([]Option{WithRole(DecodeRole), WithName("d"), WithInterToken(5*time.Millisecond, 0)}, options...)...)
	return prefill, decode
}

// post sends body as JSON with the given X-Request-Id and returns the response.
func post(ctx context.Context, e *Engine, path, id string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address()+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Holder", "holder")
	return http.DefaultTransport.RoundTrip(request)
}

// completionBody is a completion request as clients send it.
type completionBody struct {
	Model            string          `json:"model"`
	Prompt           string          `json:"prompt"`
	MaxTokens        int             `json:"max_tokens"`
	Stream           bool            `json:"stream"`
	Priority         int             `json:"priority"`
	ContinueFrom     []int           `json:"continue_from,omitempty"`
	KVTransferParams *TransferParams `json:"kv_transfer_params,omitempty"`
}

// runPrefill sends a prefill request and returns the response.
func runPrefill(t *testing.T, e *Engine, id, prompt string) PrefillResponse {
	t.Helper()
	request := completionBody{Prompt: prompt, MaxTokens: 1, KVTransferParams: &TransferParams{DoRemoteDecode: true}}
	response, err := post(t.Context(), e, "/v1/completions", id, request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var decoded PrefillResponse
	if err := json.NewDecoder(response.Body).Decode(&decoded); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("prefill: %s, %v", response.Status, err)
	}
	return decoded
}

// streamResult holds what was received of a streamed response.
type streamResult struct {
	status int
	ids    map[string]bool
	tokens []int
	done   bool
}

// runDecode sends a streamed request to a decode engine and reads the response.
func runDecode(ctx context.Context, e *Engine, id string, request completionBody) (streamResult, error) {
	request.Stream = true
	result := streamResult{ids: make(map[string]bool)}
	response, err := post(ctx, e, "/v1/completions", id, request)
	if err != nil {
		return result, err
	}
	defer func() { _ = response.Body.Close() }()
	result.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			result.done = true
			continue
		}
		var event Completion
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return result, err
		}
		result.ids[event.ID] = true
		result.tokens = append(result.tokens, event.Choices[0].TokenIDs...)
	}
	return result, lines.Err()
}

// abort aborts a request and reports whether the engine found it.
func abort(t *testing.T, e *Engine, id string) bool {
	t.Helper()
	response, err := post(t.Context(), e, "/abort_request", "", AbortRequest{RID: id})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var decoded AbortResponse
	if err := json.NewDecoder(response.Body).Decode(&decoded); err != nil {
		t.Fatal(err)
	}
	return decoded.Aborted
}

// promptOfWords returns a prompt of n words.
func promptOfWords(n int) string {
	var b strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&b, "word%d ", i)
	}
	return b.String()
}

// waitFor polls done until it returns true, for up to 5 s.
func waitFor(t *testing.T, description string, done func() bool) {
	t.Helper()
	for range 500 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timeout waiting for %s", description)
}

// readBody returns the body of a response as text.
func readBody(response *http.Response) string {
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return string(data)
}
