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

// holds reports whether an engine holds a request in the phase.
func holds(e *standin.Engine, phase standin.Phase) bool {
	for _, q := range e.Record().Requests {
		if q.EndedUnixMS == 0 && q.Phase == phase {
			return true
		}
	}
	return false
}

// TestCallerGone closes the caller's connection in each phase. Nothing was
// written to it before the end of the prefill.
func TestCallerGone(t *testing.T) {
	long := strings.Repeat("w ", 1900) // Prefilled in about 190 ms.
	tests := []struct {
		name, prompt string
		maxTokens    int
		stream       bool
		at           func(r *rig) bool
	}{
		{"in prefill", long, 50, true, func(r *rig) bool { return holds(r.prefill[0], standin.Prefill) }},
		{"in decode, streamed", "a b", 2000, true, func(r *rig) bool { return holds(r.decode[0], standin.Decode) }},
		{"in decode, whole", "a b", 2000, false, func(r *rig) bool { return holds(r.decode[0], standin.Decode) }},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			conn, err := net.Dial("tcp", r.address)
			if err != nil {
				t.Fatal(err)
			}
			body := completionBody(tc.prompt, tc.maxTokens, tc.stream)
			_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body)
			eventually(t, "the phase", 5*time.Second, func() bool { return tc.at(r) })
			_ = conn.Close()
			eventually(t, "the request ends", 2*time.Second, func() bool { return r.server.open.Load() == 0 })
			eventually(t, "engine memory is free", 5*time.Second, r.enginesAreFree)
			engines := r.decode
			if strings.HasPrefix(tc.name, "in prefill") {
				engines = r.prefill
			}
			for _, e := range engines {
				for _, q := range e.Record().Requests {
					if q.Ending != standin.Aborted {
						t.Errorf("%s: %s ended as %v, want an abort", q.RID, q.Phase, q.Ending)
					}
				}
			}
		})
	}
}

// TestLongStreamOutlivesTheIdleLimit streams for longer than connections may
// be idle.
func TestLongStreamOutlivesTheIdleLimit(t *testing.T) {
	limits := defaultLimits
	limits.IdleTime = 300 * time.Millisecond
	r := newRig(t, WithLimits(limits))
	got, done, _ := r.do("POST", "/v1/completions", completionBody("a b", 200, true)).streamed(t)
	if !done || got != expected("a b", 200) {
		t.Errorf("the stream was cut after %d bytes", len(got))
	}
}

func TestDrainFinishesOpenRequests(t *testing.T) {
	r := newRig(t)
	result := make(chan response, 1)
	go func() { result <- r.do("POST", "/v1/completions", completionBody("a b", 100, true)) }()
	eventually(t, "decode", 5*time.Second, func() bool { return holds(r.decode[0], standin.Decode) })
	if err := r.server.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := r.path.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	a := <-result
	if got, done, _ := a.streamed(t); !done || got != expected("a b", 100) {
		t.Errorf("the stream was cut after %d bytes", len(got))
	}
	late := r.do("GET", "/status", "")
	if late.status != 200 || !late.close {
		t.Errorf("a late request got %d, close %v", late.status, late.close)
	}
}

// TestCloseEndsOpenRequests closes a server that was not drained.
func TestCloseEndsOpenRequests(t *testing.T) {
	r := newRig(t)
	result := make(chan response, 1)
	go func() { result <- r.do("POST", "/v1/completions", completionBody("a b", 2000, true)) }()
	eventually(t, "decode", 5*time.Second, func() bool { return holds(r.decode[0], standin.Decode) })
	started := time.Now()
	r.closed = true
	if err := r.server.Close(); err != nil {
		t.Fatal(err)
	}
	r.path.Close()
	if took := time.Since(started); took > 5*time.Second {
		t.Errorf("Close took %v", took)
	}
	if _, done, _ := (<-result).streamed(t); done {
		t.Error("a cut answer is marked as whole")
	}
	if !r.enginesAreFree() {
		t.Error("engine memory is held after Close")
	}
}

// raw sends bytes and returns all that comes back within two seconds.
func (r *rig) rawExchange(t *testing.T, parts ...string) string {
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
	answer, _ := io.ReadAll(conn)
	return string(answer)
}
