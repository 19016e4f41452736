package caller

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	standin "monsoonfork/io/standin/engine"
)

// hasRequestInPhase reports whether an engine has an unfinished request in the phase.
func hasRequestInPhase(e *standin.Engine, phase standin.Phase) bool {
	for _, q := range e.Record().Requests {
		if q.EndedUnixMS == 0 && q.Phase == phase {
			return true
		}
	}
	return false
}

// TestCallerDisconnect closes the caller's connection in each phase of a request; its
// engines must abort it. During prefill nothing has been written to the caller, so a
// failed write can't reveal the disconnect.
func TestCallerDisconnect(t *testing.T) {
	longPrompt := strings.Repeat("w ", 1900) // Prefilled in about 190 ms.
	tests := []struct {
		name, prompt string
		maxTokens    int
		stream       bool
		reached      func(r *testServer) bool
	}{
		{"in prefill", longPrompt, 50, true, func(r *testServer) bool { return hasRequestInPhase(r.prefill[0], standin.Prefill) }},
		{"in decode, streamed", "a b", 2000, true, func(r *testServer) bool { return hasRequestInPhase(r.decode[0], standin.Decode) }},
		{"in decode, not streamed", "a b", 2000, false, func(r *testServer) bool { return hasRequestInPhase(r.decode[0], standin.Decode) }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := newTestServer(t)
			conn, err := net.Dial("tcp", r.address)
			if err != nil {
				t.Fatal(err)
			}
			body := completionBody(tc.prompt, tc.maxTokens, tc.stream)
			_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
			eventually(t, "request reaches the phase", 5*time.Second, func() bool { return tc.reached(r) })
			_ = conn.Close()
			eventually(t, "the request ends", 2*time.Second, func() bool { return r.server.openRequests.Load() == 0 })
			eventually(t, "engine memory is free", 5*time.Second, r.enginesIdle)
			engines := r.decode
			if strings.HasPrefix(tc.name, "in prefill") {
				engines = r.prefill
			}
			for _, e := range engines {
				for _, q := range e.Record().Requests {
					if q.Outcome != standin.Aborted {
						t.Errorf("%s: %s ended as %v, want Aborted", q.RID, q.Phase, q.Outcome)
					}
				}
			}
		})
	}
}

// TestStreamOutlastsIdleTimeout streams for longer than the idle timeout, which must not
// apply during a response.
func TestStreamOutlastsIdleTimeout(t *testing.T) {
	limits := defaultLimits
	limits.IdleTimeout = 300 * time.Millisecond
	r := newTestServer(t, WithLimits(limits))
	got, done, _ := r.do("POST", "/v1/completions", completionBody("a b", 200, true)).parseStream(t)
	if !done || got != expectedText("a b", 200) {
		t.Errorf("the stream ended after %d bytes", len(got))
	}
}

func TestIdleConnectionsAreClosed(t *testing.T) {
	limits := defaultLimits
	limits.IdleTimeout = 200 * time.Millisecond
	r := newTestServer(t, WithLimits(limits))
	for name, sent := range map[string]string{
		"without a request": "",
		"after a response":  "GET /status HTTP/1.1\r\nHost: x\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", r.address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, sent)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.ReadAll(conn); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		_ = conn.Close()
	}
}

func TestDrainFinishesOpenRequests(t *testing.T) {
	r := newTestServer(t)
	result := make(chan testResponse, 1)
	go func() { result <- r.do("POST", "/v1/completions", completionBody("a b", 100, true)) }()
	eventually(t, "request reaches the decode phase", 5*time.Second, func() bool { return hasRequestInPhase(r.decode[0], standin.Decode) })
	if err := r.server.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := r.pipeline.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	a := <-result
	if got, done, _ := a.parseStream(t); !done || got != expectedText("a b", 100) {
		t.Errorf("the stream ended after %d bytes", len(got))
	}
	res := r.do("GET", "/status", "")
	if res.status != 200 || !res.connClose {
		t.Errorf("request during the drain: status %d, close %v, want 200 and close", res.status, res.connClose)
	}
}

// TestCloseEndsOpenRequests closes a server without draining it: open requests must end
// and engines be freed.
func TestCloseEndsOpenRequests(t *testing.T) {
	r := newTestServer(t)
	result := make(chan testResponse, 1)
	go func() { result <- r.do("POST", "/v1/completions", completionBody("a b", 2000, true)) }()
	eventually(t, "request reaches the decode phase", 5*time.Second, func() bool { return hasRequestInPhase(r.decode[0], standin.Decode) })
	started := time.Now()
	r.serverClosed = true
	if err := r.server.Close(); err != nil {
		t.Fatal(err)
	}
	r.pipeline.Close()
	if elapsed := time.Since(started); elapsed > 5*time.Second {
		t.Errorf("Close took %v", elapsed)
	}
	if _, done, _ := (<-result).parseStream(t); done {
		t.Error("an incomplete stream ended with [DONE]")
	}
	if !r.enginesIdle() {
		t.Error("engines have unfinished requests after Close")
	}
}

// rawExchange sends bytes on a new connection and returns all that is received within two
// seconds.
func (r *testServer) rawExchange(t *testing.T, parts ...string) string {
	t.Helper()
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	for _, part := range parts {
		if _, err := io.WriteString(conn, part); err != nil {
			break
		}
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	responseBytes, _ := io.ReadAll(conn)
	return string(responseBytes)
}
