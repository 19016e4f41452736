package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/io/httpcall"
)

// fuzzStreams are bodies of answers to a decode call of attempt a.
var fuzzStreams = []string{
	"data: {\"id\":\"a\",\"choices\":[{\"text\":\"x\",\"token_ids\":[1]}]}\n\ndata: {\"id\":\"a\",\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}\n\ndata: [DONE]\n\n",
	"data: {\"id\":\"a\",\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":-3,\"completion_tokens\":0}}\n\n",
	"data: {\"id\":\"a\",\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":1e400}}\n\n", "data: {\"id\":\"b\",\"choices\":[{}]}\n\n",
	"data: {\"id\":\"a\",\"choices\":[]}\n\n", "data: {\"id\":\"a\",\"choices\":[null]}\n\n", "data: null\n\n", "data:\n", ":comment\r\ndata: 7\r\n\r\n", "\x00\xff\n", "data",
	"data: " + strings.Repeat("[", 300) + "\n", "data: {\"id\":\"a\",\"choices\":[{\"token_ids\":[1,2,3,4,5,6,7,8,9]}]}\n",
}

// streamResult is what a decode stream yields.
type streamResult struct {
	deltas   string
	finish   engineapi.Finish
	finished bool
	failed   bool
}

// readStream reads the body of an answer in parts of partBytes.
func readStream(client *Client, body string, partBytes int) streamResult {
	var r streamResult
	s := &decodeStream{client: client, call: engineapi.DecodeCall{Attempt: "a", MaxTokens: 8}, onDelta: func(d engineapi.Delta) error {
		r.deltas += fmt.Sprint(d)
		return nil
	}}
	_ = s.onHead(endpoint.Head{Status: http.StatusOK})
	for len(body) > 0 && !r.failed {
		part := body[:min(partBytes, len(body))]
		body = body[len(part):]
		r.failed = s.onChunk([]byte(part)) != nil
	}
	r.finish, r.finished = s.finish, s.finished && s.finishErr == nil
	return r
}

// FuzzDecodeStream guards against a body of an engine that panics, yields other tokens if it
// arrives in other parts, more than were asked for, or a negative count.
func FuzzDecodeStream(f *testing.F) {
	for _, body := range fuzzStreams {
		f.Add(body, uint8(1))
	}
	calls, err := httpcall.New()
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(calls.Close)
	client := New(calls, "h")
	f.Fuzz(func(t *testing.T, body string, partBytes uint8) {
		whole, parts := readStream(client, body, len(body)+1), readStream(client, body, int(partBytes)+1)
		if whole != parts {
			t.Errorf("in one part %+v, in parts of %d %+v", whole, int(partBytes)+1, parts)
		}
		if whole.finished && (whole.finish.PromptTokens < 0 || whole.finish.Tokens < 0 || whole.finish.Tokens > 8) {
			t.Errorf("finish %+v", whole.finish)
		}
	})
}

// prefillWith makes a prefill call of attempt a to an engine that answers with body.
func prefillWith(client *Client, body string) (engineapi.PrefillResult, error) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = fmt.Fprint(w, body)
	}))
	defer server.Close()
	call := engineapi.PrefillCall{Attempt: "a", Limits: endpoint.Limits{ResponseDeadline: time.Now().Add(5 * time.Second)}}
	return client.Prefill(context.Background(), ident.Address(strings.TrimPrefix(server.URL, "http://")), call)
}

// TestNegativePromptTokensAreBroken guards against an engine's count of tokens with which more
// is refunded to an organisation than its request was charged.
func TestNegativePromptTokensAreBroken(t *testing.T) {
	calls, err := httpcall.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(calls.Close)
	client := New(calls, "h")
	if r, err := prefillWith(client, `{"id":"a","usage":{"prompt_tokens":-5},"kv_transfer_params":{}}`); !fault.Is(err, fault.AnswerBroken) {
		t.Errorf("prefill: %+v, %v, want AnswerBroken", r, err)
	}
	if r := readStream(client, fuzzStreams[1], 1000); r.finished || !r.failed {
		t.Errorf("decode: %+v, want an error", r)
	}
}
