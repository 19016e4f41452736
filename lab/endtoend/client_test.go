package endtoend

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"monsoonfork/lab/fleet"
)

// callTimeout is the timeout of one call.
const callTimeout = 8 * time.Second

// caller is an HTTP client outside of the fleet.
type caller struct {
	http http.Client
	key  string
}

// newCaller returns a caller that sends an API key, or none if key is empty.
func newCaller(key string) *caller {
	return &caller{key: key, http: http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// callResult is the response to a call, or its error.
type callResult struct {
	status int
	header http.Header
	body   string
	err    error
}

// requestSpec describes an HTTP request.
type requestSpec struct {
	method, path, body string
	header             map[string]string
}

// open sends a request and returns the response with its body unread. It retries
// refusals that say that the call did not run and that have a Retry-After header: the
// budgets of a newly started fleet are empty.
func (c *caller) open(ctx context.Context, i *fleet.Instance, a requestSpec) (*http.Response, error) {
	for deadline := time.Now().Add(callTimeout); ; {
		response, err := c.openOnce(ctx, i, a)
		if err != nil || time.Now().After(deadline) {
			return response, err
		}
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		if seconds == 0 || response.Header.Get("X-Ran") != "not run" {
			return response, nil
		}
		_ = response.Body.Close()
		time.Sleep(time.Duration(seconds) * time.Second)
	}
}

// openOnce sends a request without retries.
func (c *caller) openOnce(ctx context.Context, i *fleet.Instance, a requestSpec) (*http.Response, error) {
	url := "http://" + string(i.Settings.CallerAddress) + a.path
	request, err := http.NewRequestWithContext(ctx, a.method, url, strings.NewReader(a.body))
	if err != nil {
		return nil, err
	}
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	for name, value := range a.header {
		request.Header.Set(name, value)
	}
	return c.http.Do(request)
}

// call sends a request and reads the whole response.
func (c *caller) call(ctx context.Context, i *fleet.Instance, a requestSpec) callResult {
	response, err := c.open(ctx, i, a)
	if err != nil {
		return callResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// mustCall sends a request and fails the test unless the response has the status.
func (c *caller) mustCall(t *testing.T, i *fleet.Instance, status int, a requestSpec) callResult {
	t.Helper()
	got := c.call(t.Context(), i, a)
	if got.err != nil || got.status != status {
		t.Fatalf("%s %s at %s: %d %s %v, want %d", a.method, a.path, i.Name, got.status, got.body, got.err, status)
	}
	return got
}

// completionRequest returns a completion request for a number of output tokens.
func completionRequest(model, prompt string, tokens int, stream bool) requestSpec {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t}`, model, prompt, tokens, stream)
	return requestSpec{method: http.MethodPost, path: "/v1/completions", body: body}
}

// completionResponse is the response to a completion without streaming, or one event
// of a stream.
type completionResponse struct {
	Choices []struct {
		Text         string
		FinishReason string `json:"finish_reason"`
		Message      struct{ Content string }
	}
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	}
	Error *struct{ Type, Ran string }
}

// decodeCompletion decodes a completion response; it fails the test unless the
// response has exactly one choice.
func decodeCompletion(t *testing.T, body string) completionResponse {
	t.Helper()
	var w completionResponse
	if err := json.Unmarshal([]byte(body), &w); err != nil || len(w.Choices) != 1 {
		t.Fatalf("not a completion: %v: %s", err, body)
	}
	return w
}

// streamResult is the content of a stream read by readStream.
type streamResult struct {
	text         string
	finishReason string // Finish reasons of all choices, joined.
	done         bool   // The [DONE] event was received.
	failure      string // Type of the error event, or a decoding error; empty if none.
}

// readStream reads a stream to its end. It calls onEvent, if not nil, after each
// event with the number of events so far.
func readStream(body io.Reader, onEvent func(n int)) streamResult {
	var s streamResult
	events := 0
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.done = true
			continue
		}
		var event completionResponse
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			s.failure = err.Error()
			return s
		}
		if event.Error != nil {
			s.failure = event.Error.Type
		}
		for _, choice := range event.Choices {
			s.text += choice.Text
			s.finishReason += choice.FinishReason
		}
		events++
		if onEvent != nil {
			onEvent(events)
		}
	}
	return s
}
