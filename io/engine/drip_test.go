package engine

import (
	"io"
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

const (
	// dripInterval is the time between two pieces of a stream without tokens.
	dripInterval = 20 * time.Millisecond
	// dripTimeout is the longest time between two tokens in these tests.
	dripTimeout = time.Second
	// maxDripTime is how long such a stream lasts.
	maxDripTime = 4 * time.Second
)

// decodeFrom decodes a stream that begins with one token, written by the given function.
func decodeFrom(t *testing.T, write func(send func(string) bool)) (engineapi.Finish, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		send := func(s string) bool {
			_, err := io.WriteString(w, s)
			w.(http.Flusher).Flush()
			return err == nil && r.Context().Err() == nil
		}
		send(`data: {"id":"a","choices":[{"token_ids":[1]}]}` + "\n\n")
		write(send)
	}))
	defer server.Close()
	calls, err := httpcall.New()
	if err != nil {
		t.Fatal(err)
	}
	defer calls.Close()
	limits := endpoint.Limits{ReadTimeout: dripTimeout, ResponseDeadline: time.Now().Add(10 * time.Second)}
	return New(calls, "a-1").Decode(t.Context(), ident.Address(strings.TrimPrefix(server.URL, "http://")),
		engineapi.DecodeCall{Attempt: "a", MaxTokens: 5, Limits: limits}, func(engineapi.Delta) error { return nil })
}

// TestStreamOfBytesWithoutTokensTimesOut guards against a stalled stream that lasts until its
// deadline, since its engine sends a byte, a comment or an event without tokens now and then.
func TestStreamOfBytesWithoutTokensTimesOut(t *testing.T) {
	for _, piece := range []string{":", ": alive\n\n", "\n", "data: {\"id\":\"a\",\"choices\":[{}]}\n\n"} {
		started := time.Now()
		_, err := decodeFrom(t, func(send func(string) bool) {
			for end := started.Add(maxDripTime); time.Now().Before(end) && send(piece); {
				time.Sleep(dripInterval)
			}
		})
		if f := fault.From(err); !fault.Is(err, fault.EndpointTimeout) || f.Ran != fault.MayHaveRun {
			t.Errorf("%q: %v, want EndpointTimeout and MayHaveRun", piece, err)
		}
		if took := time.Since(started); took > maxDripTime/2 {
			t.Errorf("%q: the call took %v", piece, took)
		}
	}
}

// TestSlowTokensAreKept guards against a sound stream being cut whose events arrive in small
// parts, each event within the time limit.
func TestSlowTokensAreKept(t *testing.T) {
	finish, err := decodeFrom(t, func(send func(string) bool) {
		for _, last := range []string{"", "", `,"finish_reason":"stop"`} {
			for _, part := range strings.SplitAfter(`data: {"id":"a","choices":[{"token_ids":[2]`+last+`}]}`+"\n\n", ":") {
				time.Sleep(dripTimeout / 20)
				send(part)
			}
		}
	})
	if err != nil || finish.Tokens != 4 || finish.Reason != "stop" {
		t.Errorf("%+v, %v; want 4 tokens", finish, err)
	}
}
