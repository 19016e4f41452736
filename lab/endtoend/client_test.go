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

// callTimeout bounds one call.
const callTimeout = 8 * time.Second

// caller is a program outside of the system.
type caller struct {
	http http.Client
	key  string
}

// newCaller returns a caller that shows a key.
func newCaller(key string) *caller {
	return &caller{key: key, http: http.Client{
		Timeout:   callTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// ask describes a call.
type ask struct {
	method, path, body string
	header             map[string]string
}

// open makes a call and returns the answer with its body unread. As callers do,
// it calls again when the answer says that the call did not run and when to come
// again: budgets of a fleet that has just started are empty.
func (c *caller) open(ctx context.Context, i *fleet.Instance, a ask) (*http.Response, error) {
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

// openOnce makes one call.
func (c *caller) openOnce(ctx context.Context, i *fleet.Instance, a ask) (*http.Response, error) {
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

// call makes a call and reads its whole answer.
func (c *caller) call(ctx context.Context, i *fleet.Instance, a ask) answer {
	response, err := c.open(ctx, i, a)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// mustCall makes a call that must be answered with the status.
func (c *caller) mustCall(t *testing.T, i *fleet.Instance, status int, a ask) answer {
	t.Helper()
	got := c.call(t.Context(), i, a)
	if got.err != nil || got.status != status {
		t.Fatalf("%s %s at %s: %d %s %v, want %d", a.method, a.path, i.Name, got.status, got.body, got.err, status)
	}
	return got
}

// completionAsk asks for tokens of an answer.
func completionAsk(model, prompt string, tokens int, stream bool) ask {
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":%t}`, model, prompt, tokens, stream)
	return ask{method: http.MethodPost, path: "/v1/completions", body: body}
}

// wholeAnswer is the answer to a completion that does not stream, or one event
// of a stream.
type wholeAnswer struct {
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

// decodeWhole decodes the body of a whole answer.
func decodeWhole(t *testing.T, body string) wholeAnswer {
	t.Helper()
	var w wholeAnswer
	if err := json.Unmarshal([]byte(body), &w); err != nil || len(w.Choices) != 1 {
		t.Fatalf("not a completion: %v: %s", err, body)
	}
	return w
}

// streamed is what came of a stream.
type streamed struct {
	text   string
	reason string
	done   bool // The mark of the end came.
	failed string
}

// readStream reads a stream to its end. It calls onEvent, if any, after each
// event with the number of events so far.
func readStream(body io.Reader, onEvent func(n int)) streamed {
	var s streamed
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
		var event wholeAnswer
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			s.failed = err.Error()
			return s
		}
		if event.Error != nil {
			s.failed = event.Error.Type
		}
		for _, choice := range event.Choices {
			s.text += choice.Text
			s.reason += choice.FinishReason
		}
		events++
		if onEvent != nil {
			onEvent(events)
		}
	}
	return s
}
