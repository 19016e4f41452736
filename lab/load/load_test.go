package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"monsoonfork/io/standin/engine"
	"monsoonfork/lab/workload"
)

// Prompt and max_tokens of all completions that the tests send.
const (
	prompt       = "a b c"
	answerTokens = 3
)

// streamBody returns the body of a streamed answer of n correct tokens,
// optionally with a finish reason and the [DONE] event.
func streamBody(n int, finished, done bool) string {
	var b strings.Builder
	for i, token := range engine.ExpectedTokens(engine.WordsPrompt(prompt), n) {
		reason := "null"
		if finished && i == n-1 {
			reason = `"length"`
		}
		_, _ = fmt.Fprintf(&b, "data: {\"choices\":[{\"text\":%q,\"finish_reason\":%s}]}\n\n", engine.TokenText(token), reason)
	}
	if done {
		b.WriteString("data: [DONE]\n\n")
	}
	return b.String()
}

func TestOutcomeOfAnswers(t *testing.T) {
	refusal := `{"error":{"type":"overloaded","message":"m","ran":"not run"}}`
	cases := []struct {
		name   string
		kind   workload.Kind
		stream bool
		status int
		ran    string
		body   string
		want   Outcome
	}{
		{"complete stream", workload.Completion, true, 200, "", streamBody(answerTokens, true, true), Complete},
		{"cut stream", workload.Completion, true, 200, "", streamBody(2, false, false), Truncated},
		{"error in stream", workload.Completion, true, 200, "", streamBody(2, false, false) + "data: {\"error\":{\"message\":\"m\"}}\n\n", Truncated},
		{"shortened stream with end markers", workload.Completion, true, 200, "", streamBody(2, true, true), Incorrect},
		{"stream without finish reason", workload.Completion, true, 200, "", streamBody(answerTokens, false, true), Incorrect},
		{"duplicate token", workload.Completion, true, 200, "", streamBody(1, false, false) + streamBody(answerTokens, true, true), Incorrect},
		{"complete answer", workload.Completion, false, 200, "", unstreamedBody(answerTokens), Complete},
		{"truncated answer", workload.Completion, false, 200, "", unstreamedBody(2), Incorrect},
		{"refusal", workload.Completion, true, 503, "not run", refusal, NotRun},
		{"header contradicts body", workload.Completion, true, 503, "ran", refusal, Incorrect},
		{"no error body", workload.Status, false, 502, "", "bad gateway", Incorrect},
		{"booking", workload.Create, false, 201, "", `{"reference":"r"}`, Complete},
		{"booking of another request", workload.Create, false, 201, "", `{"reference":"s"}`, Incorrect},
		{"status", workload.Status, false, 200, "", `{"status":"ok"}`, Complete},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			handler := func(w http.ResponseWriter, _ *http.Request) {
				if c.ran != "" {
					w.Header().Set("X-Ran", c.ran)
				}
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}
			server := httptest.NewServer(http.HandlerFunc(handler))
			defer server.Close()
			sender := newTestSender(server)
			defer sender.Close()
			r := workload.Request{Kind: c.kind, Prompt: prompt, MaxTokens: answerTokens, Stream: c.stream, Reference: "r"}
			result := sender.Send(t.Context(), r)
			if result.Outcome() != c.want {
				t.Errorf("outcome %s, want %s: %+v", result.Outcome(), c.want, result.Last())
			}
		})
	}
}

// unstreamedBody returns the body of an answer of n correct tokens that is not
// streamed.
func unstreamedBody(n int) string {
	text := engine.ExpectedText(engine.WordsPrompt(prompt), n)
	return fmt.Sprintf(`{"choices":[{"text":%q,"finish_reason":"length"}]}`, text)
}

// newTestSender returns a sender whose only instance is server.
func newTestSender(server *httptest.Server) *Sender {
	address := server.Listener.Addr().String()
	return NewSender(Config{
		Workload:   workload.Tuinhulp(),
		Instances:  func() []string { return []string{address} },
		Timeout:    5 * time.Second,
		MaxRetries: 2,
	})
}

func TestUnknownOutcomeIsRetriedUnderSameKey(t *testing.T) {
	keys := make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		keys <- r.Header.Get("Idempotency-Key")
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	sender := newTestSender(server)
	defer sender.Close()
	result := sender.Send(t.Context(), workload.Request{Kind: workload.Cancel, Reference: "r"})
	if len(keys) != 3 || len(result.Attempts) != 3 || result.Outcome() != NoAnswer || result.AllNotRun() {
		t.Errorf("%d calls, want 3 and outcome NoAnswer: %+v", len(keys), result)
	}
	for range len(keys) {
		if key := <-keys; key != "key-r" {
			t.Errorf("Idempotency-Key %q, want key-r", key)
		}
	}
}

func TestCallerDisconnects(t *testing.T) {
	disconnected := make(chan bool, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		_, _ = io.WriteString(w, streamBody(1, false, false))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		disconnected <- true
	}))
	defer server.Close()
	sender := newTestSender(server)
	defer sender.Close()
	r := workload.Request{Kind: workload.Completion, Prompt: prompt, MaxTokens: answerTokens, Stream: true, DisconnectAfter: 50 * time.Millisecond}
	if result := sender.Send(t.Context(), r); result.Outcome() != CallerDisconnected {
		t.Errorf("attempt after the caller disconnected: %+v", result.Last())
	}
	<-disconnected
}

func TestRunReportsAllRequests(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"status":"ok"}`)
	}))
	defer server.Close()
	cfg := newTestSender(server).cfg
	cfg.Workload.Kinds = map[workload.Kind]workload.Weight{workload.Status: 1}
	cfg.Rate = 200
	cfg.Seed = 1
	cfg.Duration = 500 * time.Millisecond
	report := Run(context.Background(), cfg)
	if n := report.Total(Complete); n < 50 || n != len(report.Results) {
		t.Errorf("%d of %d requests answered completely, want all and at least 50", n, len(report.Results))
	}
	var out bytes.Buffer
	if err := report.Print(&out); err != nil || !strings.Contains(out.String(), "Status") {
		t.Errorf("printed report: error %v, output %s", err, out.String())
	}
}
