package caller

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
)

// fuzzCompletions are bodies of completion requests.
var fuzzCompletions = []string{
	completionBody("a b", 20, true), `{"model":"m","prompt":[1,2,3],"n":1}`, `{"model":"m","prompt":[-1]}`, `{"model":"m","prompt":[]}`, `{"model":"m","prompt":""}`,
	`{"model":"m","prompt":null}`, `{"model":"m","prompt":" "}`, `{"model":"m","prompt":[1e400]}`, `{"model":"m","prompt":"x","max_tokens":9223372036854775807}`,
	`{"model":"m","prompt":"x","max_tokens":-1}`, `{"model":"m","prompt":"x","max_tokens":0}`, `{"model":"m","prompt":"x","max_tokens":1.5}`, `{"model":"m","prompt":"x","n":2}`,
	`{"model":"m","messages":[{"content":"x"}]}`, `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"},{"type":"image"}]}]}`,
	`{"model":"m","messages":[null]}`, `{"model":"m","messages":[{"content":null}],"max_completion_tokens":3,"max_tokens":9}`, `{"model":"m","messages":[{"content":[null]}]}`,
	`{"MODEL":"m","Prompt":"\ud800","prompt":"\u0000"}`, `{"prompt":{"prompt":{}}}`, `null`, `[]`, `"x"`, `{`, "", "\xff",
	strings.Repeat("[", 20_000), `{"model":"m","prompt":` + strings.Repeat("[", 9_000) + `1` + strings.Repeat("]", 9_000) + `}`,
}

// fuzzCompletionTime bounds the time for one body.
const fuzzCompletionTime = 2 * time.Second

// checkCompletion fails the test if a decoded request has values out of range, or a prompt
// that an engine would read as another one.
func checkCompletion(t *testing.T, body string, c completionCall) {
	t.Helper()
	if c.Model == "" || c.MaxTokens < 1 || c.Prompt.Check() != nil {
		t.Errorf("body %.200q decoded to %+v", body, c)
	}
	sent, err := json.Marshal(c.Prompt)
	if err != nil {
		t.Fatalf("prompt of %.200q: %v", body, err)
	}
	var received engineapi.Prompt
	if err := json.Unmarshal(sent, &received); err != nil {
		t.Fatalf("prompt %.200q: %v", sent, err)
	}
	if again, err := json.Marshal(received); err != nil || string(again) != string(sent) {
		t.Errorf("prompt %.200q is read as %.200q, %v", sent, again, err)
	}
	tokens := c.Prompt.TokenUpperBound(1)
	if tokens < 1 || int(tokens) > 4*len(body)+64 || len(c.Prompt.PrefixHashes()) > int(tokens) {
		t.Errorf("body of %d bytes has %d tokens and %d prefixes", len(body), tokens, len(c.Prompt.PrefixHashes()))
	}
}

// FuzzCompletionBody guards against a caller's body that panics the decoder, takes long,
// decodes to values out of range, or to a prompt that engines read as another one.
func FuzzCompletionBody(f *testing.F) {
	for _, body := range fuzzCompletions {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body string) {
		started, before := time.Now(), allocated()
		for _, path := range []string{"/v1" + completionPath, "/v1" + chatPath, "/v1/other"} {
			c, err := decodeRequest(path, []byte(body))
			if err == nil {
				checkCompletion(t, body, c)
			} else if !fault.Is(err, fault.BadRequest) && !fault.Is(err, fault.UnknownRoute) {
				t.Errorf("error %v, want BadRequest", err)
			}
		}
		if elapsed := time.Since(started); elapsed > fuzzCompletionTime {
			t.Errorf("%d bytes took %v", len(body), elapsed)
		}
		if used := allocated() - before; used > fuzzInputMemory+uint64(64*len(body)) {
			t.Errorf("%d bytes made the process allocate %d", len(body), used)
		}
	})
}
