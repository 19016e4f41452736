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

// completionBody returns the body of a completion.
func completionBody(prompt string, maxTokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"summary","prompt":%q,"max_tokens":%d,"stream":%v}`, prompt, maxTokens, stream)
}

func TestCompletions(t *testing.T) {
	r := newRig(t)
	const prompt = "a visit note of eight words for you"
	t.Run("whole", func(t *testing.T) {
		a := r.do("POST", "/v1/completions", completionBody(prompt, 20, false), "X-Request-Id", "my-id")
		var answer completionAnswer
		if err := json.Unmarshal([]byte(a.body), &answer); err != nil || a.status != 200 {
			t.Fatalf("%d %s %v", a.status, a.body, err)
		}
		if got := *answer.Choices[0].Text; got != expected(prompt, 20) {
			t.Errorf("text %q", got)
		}
		if *answer.Usage != (usage{8, 20, 28}) || *answer.Choices[0].FinishReason != "length" {
			t.Errorf("usage %+v", answer.Usage)
		}
		if a.header.Get("X-Request-Id") != "my-id" || !strings.Contains(answer.ID, "my-id") {
			t.Errorf("ids %q %q", a.header.Get("X-Request-Id"), answer.ID)
		}
	})
	t.Run("streamed", func(t *testing.T) {
		got, done, _ := r.do("POST", "/v1/completions", completionBody(prompt, 20, true)).streamed(t)
		if got != expected(prompt, 20) || !done {
			t.Errorf("got %q, done %v", got, done)
		}
	})
	t.Run("chat", func(t *testing.T) {
		body := `{"model":"summary","messages":[{"role":"system","content":"be short"},{"role":"user","content":[{"type":"text","text":"hello"}]}],"max_tokens":5,"stream":true}`
		got, done, _ := r.do("POST", "/v1/chat/completions", body).streamed(t)
		if got != expected("system: be short\nuser: hello\nassistant:", 5) || !done {
			t.Errorf("got %q, done %v", got, done)
		}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.settled) != 3 || r.settled[0] != ident.Tokens(28) {
		t.Errorf("settled %v", r.settled)
	}
}

// TestBrokenDecodeIsResumed breaks the first decode engine in several ways. The
// answer has every token once.
func TestBrokenDecodeIsResumed(t *testing.T) {
	const prompt = "one two three"
	for name, f := range map[string]control.Fault{
		"cut in mid-stream":   {Kind: control.CutStream, AfterTokens: 7},
		"stalled":             {Kind: control.StallStream, AfterTokens: 7},
		"cut before a token":  {Kind: control.CutStream},
		"crossed":             {Kind: control.CrossAnswer},
		"refused":             {Kind: control.Refuse},
		"cut after the last":  {Kind: control.CutStream, AfterTokens: 29},
		"transfer is stalled": {Kind: control.StallTransfer},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			if err := r.decode[0].Inject(f); err != nil {
				t.Fatal(err)
			}
			if f.Kind == control.StallTransfer {
				if err := r.prefill[0].Inject(f); err != nil {
					t.Fatal(err)
				}
			}
			got, done, failure := r.do("POST", "/v1/completions", completionBody(prompt, 30, true)).streamed(t)
			if got != expected(prompt, 30) || !done {
				t.Errorf("got %d bytes, done %v, error %q; want %d bytes", len(got), done, failure, len(expected(prompt, 30)))
			}
			r.decode[0].Clear()
			r.prefill[0].Clear()
			eventually(t, "engine memory is free", 15*time.Second, r.enginesAreFree)
		})
	}
}

// TestBrokenAnswersAreNeverWhole breaks every decode engine.
func TestBrokenAnswersAreNeverWhole(t *testing.T) {
	r := newRig(t)
	for _, e := range r.decode {
		if err := e.Inject(control.Fault{Kind: control.CutStream, AfterTokens: 4}); err != nil {
			t.Fatal(err)
		}
	}
	streamed := r.do("POST", "/v1/completions", completionBody("a b", 30, true))
	got, done, failure := streamed.streamed(t)
	if done || failure == "" || !strings.HasPrefix(expected("a b", 30), got) {
		t.Errorf("streamed: %q, done %v, error %q", got, done, failure)
	}
	whole := r.do("POST", "/v1/completions", completionBody("a b", 30, false))
	if f := whole.failure(t); whole.status < 500 || f.Ran != "may have run" {
		t.Errorf("whole: %d %+v", whole.status, f)
	}
}

func TestKeyWithdrawnInMidStream(t *testing.T) {
	r := newRig(t)
	time.AfterFunc(300*time.Millisecond, func() {
		r.offer(2, strings.Replace(r.raw, "{Name: planner,", "{Name: planner, Withdrawn: true,", 1))
	})
	started := time.Now()
	_, done, failure := r.do("POST", "/v1/completions", completionBody("a b", 2000, true)).streamed(t)
	if done || failure != "key_withdrawn" {
		t.Errorf("done %v, error %q", done, failure)
	}
	if took := time.Since(started); took > 4*time.Second {
		t.Errorf("cut after %v", took)
	}
	eventually(t, "engine memory is free", 5*time.Second, r.enginesAreFree)
	if a := r.do("GET", "/addresses/x", ""); a.status != 401 {
		t.Errorf("a withdrawn key got %d", a.status)
	}
}
