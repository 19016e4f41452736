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

// TestErrorBodyWithoutEnd guards against the body of a failure, or of a short call's answer,
// that fills the memory.
func TestErrorBodyWithoutEnd(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		closed := make(chan struct{}, 1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			block := strings.Repeat("x", 64<<10)
			for written := 0; written < 48<<20; written += len(block) {
				if _, err := io.WriteString(w, block); err != nil {
					closed <- struct{}{}
					return
				}
			}
		}))
		calls, err := httpcall.New()
		if err != nil {
			t.Fatal(err)
		}
		client, address := New(calls, "a-1"), ident.Address(strings.TrimPrefix(server.URL, "http://"))
		if _, err := client.State(t.Context(), address); !fault.Is(err, fault.AnswerBroken) || fault.From(err).Ran != fault.MayHaveRun {
			t.Errorf("status %d, short call: %v, want AnswerBroken and MayHaveRun", status, err)
		}
		if status != http.StatusOK {
			limits := endpoint.Limits{ResponseDeadline: time.Now().Add(5 * time.Second)}
			_, err := client.Decode(t.Context(), address, engineapi.DecodeCall{Attempt: "a", Limits: limits}, func(engineapi.Delta) error { return nil })
			if !fault.Is(err, fault.AnswerBroken) || fault.From(err).Ran != fault.MayHaveRun {
				t.Errorf("decode: %v, want AnswerBroken and MayHaveRun", err)
			}
		}
		select {
		case <-closed:
		case <-time.After(time.Second):
			t.Errorf("status %d: the connection was not closed", status)
		}
		calls.Close()
		server.Close()
	}
}
