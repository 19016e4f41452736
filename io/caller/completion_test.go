package caller

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/io/standin/control"
)

// completionBody returns the JSON body of a completion request.
func completionBody(prompt string, maxTokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"summary","prompt":%q,"max_tokens":%d,"stream":%v}`, prompt, maxTokens, stream)
}

func TestCompletions(t *testing.T) {
	r := newTestServer(t)
	const prompt = "a visit note of eight words for you"
	t.Run("complete", func(t *testing.T) {
		a := r.do("POST", "/v1/completions", completionBody(prompt, 20, false), "X-Request-Id", "my-id")
		var res completionResponse
		if err := json.Unmarshal([]byte(a.body), &res); err != nil || a.status != 200 {
			t.Fatalf("%d %s %v", a.status, a.body, err)
		}
		if got := *res.Choices[0].Text; got != expectedText(prompt, 20) {
			t.Errorf("got text %q, which differs from the engine's", got)
		}
		if *res.Usage != (usage{8, 20, 28}) || *res.Choices[0].FinishReason != "length" {
			t.Errorf("got usage %+v, want 8, 20 and 28 tokens, and finish reason length", res.Usage)
		}
		if a.header.Get("X-Request-Id") != "my-id" || !strings.Contains(res.ID, "my-id") {
			t.Errorf("got X-Request-Id %q and completion id %q, want my-id in both", a.header.Get("X-Request-Id"), res.ID)
		}
	})
	t.Run("streamed", func(t *testing.T) {
		got, done, _ := r.do("POST", "/v1/completions", completionBody(prompt, 20, true)).parseStream(t)
		if got != expectedText(prompt, 20) || !done {
			t.Errorf("got %q, done %v", got, done)
		}
	})
	t.Run("chat", func(t *testing.T) {
		body := `{"model":"summary","messages":[{"role":"system","content":"be short"},{"role":"user","content":[{"type":"text","text":"hello"}]}],"max_tokens":5,"stream":true}`
		got, done, _ := r.do("POST", "/v1/chat/completions", body).parseStream(t)
		if got != expectedText("system: be short\nuser: hello\nassistant:", 5) || !done {
			t.Errorf("got %q, done %v", got, done)
		}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.settledTokens) != 3 || r.settledTokens[0] != ident.Tokens(28) {
		t.Errorf("settled tokens %v, want 3 entries, the first 28", r.settledTokens)
	}
}

// TestFailedDecodeIsResumed makes the first decode engine fail in several ways. The
// response must contain every token exactly once.
func TestFailedDecodeIsResumed(t *testing.T) {
	const prompt = "one two three"
	for name, f := range map[string]control.Fault{
		"closed in mid-stream":  {Kind: control.CutStream, AfterTokens: 7},
		"stalled":               {Kind: control.StallStream, AfterTokens: 7},
		"closed before a token": {Kind: control.CutStream},
		"id of another request": {Kind: control.CrossAnswer},
		"malformed head":        {Kind: control.MalformHead, Path: "/v1/completions"},
		"refused":               {Kind: control.Refuse},
		"closed after the last": {Kind: control.CutStream, AfterTokens: 29},
		"transfer stalled":      {Kind: control.StallTransfer},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newTestServer(t)
			if err := r.decode[0].Inject(f); err != nil {
				t.Fatal(err)
			}
			if f.Kind == control.StallTransfer {
				if err := r.prefill[0].Inject(f); err != nil {
					t.Fatal(err)
				}
			}
			got, done, failure := r.do("POST", "/v1/completions", completionBody(prompt, 30, true)).parseStream(t)
			if got != expectedText(prompt, 30) || !done {
				t.Errorf("got %d bytes, done %v, error %q; want %d bytes", len(got), done, failure, len(expectedText(prompt, 30)))
			}
			r.decode[0].Clear()
			r.prefill[0].Clear()
			eventually(t, "engine memory is free", 15*time.Second, r.enginesIdle)
		})
	}
}

// TestBrokenResponsesAreNotMarkedComplete makes every decode engine fail: a streamed
// response must end without [DONE], and a complete one must be an error.
func TestBrokenResponsesAreNotMarkedComplete(t *testing.T) {
	r := newTestServer(t)
	for _, e := range r.decode {
		if err := e.Inject(control.Fault{Kind: control.CutStream, AfterTokens: 4}); err != nil {
			t.Fatal(err)
		}
	}
	streamedResponse := r.do("POST", "/v1/completions", completionBody("a b", 30, true))
	got, done, failure := streamedResponse.parseStream(t)
	if done || failure == "" || !strings.HasPrefix(expectedText("a b", 30), got) {
		t.Errorf("streamed: text %q, done %v, error %q", got, done, failure)
	}
	completeResponse := r.do("POST", "/v1/completions", completionBody("a b", 30, false))
	if f := completeResponse.errorDetail(t); completeResponse.status < 500 || f.Ran != "may have run" {
		t.Errorf("complete: %d %+v", completeResponse.status, f)
	}
}

func TestKeyWithdrawnDuringStream(t *testing.T) {
	r := newTestServer(t)
	time.AfterFunc(300*time.Millisecond, func() {
		r.applyConfig(2, strings.Replace(r.configText, "{Name: planner,", "{Name: planner, Withdrawn: true,", 1))
	})
	started := time.Now()
	_, done, failure := r.do("POST", "/v1/completions", completionBody("a b", 2000, true)).parseStream(t)
	if done || failure != "key_withdrawn" {
		t.Errorf("done %v, error %q", done, failure)
	}
	if elapsed := time.Since(started); elapsed > 4*time.Second {
		t.Errorf("stream ended only after %v", elapsed)
	}
	eventually(t, "engine memory is free", 5*time.Second, r.enginesIdle)
	if a := r.do("GET", "/addresses/x", ""); a.status != 401 {
		t.Errorf("withdrawn key: status %d, want 401", a.status)
	}
}
