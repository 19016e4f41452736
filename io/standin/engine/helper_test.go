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

// startEngine starts an engine.
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

// post posts a body and returns the response.
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

// body is a completion request in the form that callers send.
type body struct {
	Model            string          `json:"model"`
	Prompt           string          `json:"prompt"`
	MaxTokens        int             `json:"max_tokens"`
	Stream           bool            `json:"stream"`
	Priority         int             `json:"priority"`
	ContinueFrom     []int           `json:"continue_from,omitempty"`
	KVTransferParams *TransferParams `json:"kv_transfer_params,omitempty"`
}

// runPrefill makes the prefill of a prompt.
func runPrefill(t *testing.T, e *Engine, id, prompt string) PrefillAnswer {
	t.Helper()
	b := body{Prompt: prompt, MaxTokens: 1, KVTransferParams: &TransferParams{DoRemoteDecode: true}}
	response, err := post(t.Context(), e, "/v1/completions", id, b)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer PrefillAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("prefill: %s, %v", response.Status, err)
	}
	return answer
}

// streamed is what came of a streamed answer.
type streamed struct {
	status int
	ids    map[string]bool
	tokens []int
	done   bool
}

// runDecode makes a streamed request on a decode engine.
func runDecode(ctx context.Context, e *Engine, id string, b body) (streamed, error) {
	b.Stream = true
	result := streamed{ids: make(map[string]bool)}
	response, err := post(ctx, e, "/v1/completions", id, b)
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

// abort aborts a request and reports whether there was one.
func abort(t *testing.T, e *Engine, id string) bool {
	t.Helper()
	response, err := post(t.Context(), e, "/abort_request", "", AbortRequest{RID: id})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var answer AbortAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return answer.Aborted
}

// words returns a prompt of n words.
func words(n int) string {
	var b strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&b, "word%d ", i)
	}
	return b.String()
}

// waitFor waits until done returns true.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for range 500 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("waited in vain: %s", what)
}

// readBody returns the body of a response as text.
func readBody(response *http.Response) string {
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return string(data)
}
