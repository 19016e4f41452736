package caller

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"monsoonfork/core/fault"
)

// TestInvalidRequests sends requests that the server must reject, with an error message
// and the statement that the request did not run.
func TestInvalidRequests(t *testing.T) {
	r := newTestServer(t)
	validBody := completionBody("a b", 5, false)
	tests := []struct {
		name, method, target, body string
		headers                    []string
		status                     int
		kind                       fault.Kind
	}{
		{"unknown route", "GET", "/nowhere", "", nil, 404, fault.UnknownRoute},
		{"wrong method", "PUT", "/v1/completions", validBody, nil, 404, fault.UnknownRoute},
		{"no key", "POST", "/v1/completions", validBody, []string{"Authorization", ""}, 401, fault.Unauthenticated},
		{"unknown key", "POST", "/v1/completions", validBody, []string{"Authorization", "Bearer nope"}, 401, fault.Unauthenticated},
		{"not a bearer", "POST", "/v1/completions", validBody, []string{"Authorization", "Basic abc"}, 401, fault.Unauthenticated},
		{"huge key", "POST", "/v1/completions", validBody, []string{"Authorization", "Bearer " + strings.Repeat("k", 1000)}, 401, fault.Unauthenticated},
		{"another organisation's route", "GET", "/rich", "", nil, 403, fault.Forbidden},
		{"unknown model", "POST", "/v1/completions", strings.Replace(validBody, "summary", "nope", 1), nil, 404, fault.UnknownModel},
		{"not JSON", "POST", "/v1/completions", "{", nil, 400, fault.BadRequest},
		{"wrong type", "POST", "/v1/completions", `{"model":3}`, nil, 400, fault.BadRequest},
		{"no prompt", "POST", "/v1/completions", `{"model":"summary"}`, nil, 400, fault.BadRequest},
		{"empty prompt", "POST", "/v1/completions", `{"model":"summary","prompt":" "}`, nil, 400, fault.BadRequest},
		{"zero max_tokens", "POST", "/v1/completions", completionBody("a", 0, false), nil, 400, fault.BadRequest},
		{"two choices", "POST", "/v1/completions", `{"model":"summary","prompt":"a","n":2}`, nil, 400, fault.BadRequest},
		{"too many tokens", "POST", "/v1/completions", completionBody("a", 5000, false), nil, 413, fault.RequestTooLarge},
		{"long prompt", "POST", "/v1/completions", completionBody(strings.Repeat("ab ", 4000), 5, false), nil, 413, fault.RequestTooLarge},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"summary","messages":[]}`, nil, 400, fault.BadRequest},
		{"an image", "POST", "/v1/chat/completions", `{"model":"summary","messages":[{"content":[{"type":"image_url"}]}]}`, nil, 400, fault.BadRequest},
		{"bad request id", "POST", "/v1/completions", validBody, []string{"X-Request-Id", "a b"}, 400, fault.BadRequest},
		{"long request id", "POST", "/v1/completions", validBody, []string{"X-Request-Id", strings.Repeat("i", 65)}, 400, fault.BadRequest},
		{"long Idempotency-Key", "POST", "/bookings", "{}", []string{"Idempotency-Key", strings.Repeat("i", 256)}, 400, fault.BadRequest},
		{"key in the prompt", "POST", "/v1/completions", completionBody("my key is "+testKey, 5, false), nil, 400, fault.BadRequest},
		{"escaped key in the prompt", "POST", "/v1/completions", `{"model":"summary","prompt":"\u006d` + testKey[1:] + `"}`, nil, 400, fault.BadRequest},
		{"key in the path", "GET", "/addresses/" + testKey, "", nil, 400, fault.BadRequest},
		{"huge body", "POST", "/v1/completions", strings.Repeat("x", defaultLimits.MaxBodyBytes+1), nil, 413, fault.RequestTooLarge},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			a := r.do(tc.method, tc.target, tc.body, tc.headers...)
			if a.err != nil {
				t.Fatal(a.err)
			}
			f := a.errorDetail(t)
			if a.status != tc.status || f.Type != fault.ResponseFor(tc.kind).Type || f.Ran != "not run" || f.Message == "" {
				t.Errorf("got %d %+v, want %d %v", a.status, f, tc.status, tc.kind)
			}
		})
	}
	for _, e := range append(r.prefill, r.decode...) {
		if n := len(e.Record().Requests); n > 0 {
			t.Errorf("an engine received %d requests", n)
		}
	}
	for _, s := range r.services {
		if n := len(s.Record().Runs); n > 0 {
			t.Errorf("a service ran %d calls", n)
		}
	}
}

// TestMalformedHTTP sends malformed HTTP, ambiguous requests that would allow request
// smuggling, and requests above the size limits.
func TestMalformedHTTP(t *testing.T) {
	r := newTestServer(t)
	tooLong := strings.Repeat("h", defaultLimits.MaxHeaderBytes+1)
	tests := []struct {
		name, sent string
		kind       fault.Kind
	}{
		{"not HTTP", "hello there\r\n\r\n", fault.BadRequest},
		{"bad method", "G@T / HTTP/1.1\r\n\r\n", fault.BadRequest},
		{"bad version", "GET / HTPP/1.1\r\n\r\n", fault.BadRequest},
		{"bad header", "GET / HTTP/1.1\r\nno colon here\r\n\r\n", fault.BadRequest},
		{"bad length", "POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n", fault.BadRequest},
		{"negative length", "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", fault.BadRequest},
		{"bad chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", fault.BadRequest},
		{"two lengths", "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\nx", fault.BadRequest},
		{"huge header", "GET / HTTP/1.1\r\nX-A: " + tooLong + "\r\n\r\n", fault.RequestTooLarge},
		{"huge header without an end", "GET / HTTP/1.1\r\nX-A: " + tooLong, fault.RequestTooLarge},
		{"many headers", "GET / HTTP/1.1\r\n" + strings.Repeat("X-A: b\r\n", 10_000) + "\r\n", fault.RequestTooLarge},
		{"huge path", "GET /" + tooLong + " HTTP/1.1\r\n\r\n", fault.RequestTooLarge},
		{"length and chunks", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /status HTTP/1.1\r\nHost: x\r\n\r\n", fault.BadRequest},
		{"two different lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", fault.BadRequest},
		{"unknown coding", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\nxx", fault.BadRequest},
		{"space before the colon", "GET / HTTP/1.1\r\nHost: x\r\nX-A : b\r\n\r\n", fault.BadRequest},
		{"zero byte in a header", "GET / HTTP/1.1\r\nHost: x\r\nX-A: b\x00c\r\n\r\n", fault.BadRequest},
		{"folded header with a colon", "GET / HTTP/1.1\r\nHost: x\r\nX-A: b\r\n c: d\r\n\r\n", fault.BadRequest},
		{"space in a name", "GET / HTTP/1.1\r\nHost: x\r\nX-A Y: b\r\n\r\n", fault.BadRequest},
		{"tab in a name", "GET / HTTP/1.1\r\nHost: x\r\nX-A\tY: b\r\n\r\n", fault.BadRequest},
		{"separator in a name", "GET / HTTP/1.1\r\nHost: x\r\nX(A): b\r\n\r\n", fault.BadRequest},
		{"carriage return in a value", "GET / HTTP/1.1\r\nHost: x\r\nX-A: b\rX-B: c\r\n\r\n", fault.BadRequest},
		{"folded header", "GET / HTTP/1.1\r\nHost: x\r\nX-A: b\r\n c\r\n\r\n", fault.BadRequest},
		{"huge method", strings.Repeat("G", defaultLimits.MaxHeaderBytes+1) + " / HTTP/1.1\r\n\r\n", fault.RequestTooLarge},
		{"huge length", "POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", fault.RequestTooLarge},
		{"huge chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n900000\r\n" + strings.Repeat("x", 0x900000), fault.RequestTooLarge},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := r.rawExchange(t, tc.sent)
			want := fmt.Sprintf("HTTP/1.1 %d ", fault.ResponseFor(tc.kind).Status)
			if !strings.HasPrefix(got, want) || !strings.Contains(got, fault.ResponseFor(tc.kind).Type) || !strings.Contains(got, "X-Ran: not run\r\n") {
				t.Errorf("got %.300q, want %s", got, want)
			}
		})
	}
}

// TestIncompleteRequestsTimeOut sends requests that stop in the headers or the body.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	limits := defaultLimits
	limits.RequestTimeout = 200 * time.Millisecond
	r := newTestServer(t, WithLimits(limits))
	for name, sent := range map[string]string{
		"in the headers": "POST /v1/completions HTTP/1.1\r\nHost",
		"in the body":    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			got := r.rawExchange(t, sent)
			if !strings.HasPrefix(got, "HTTP/1.1 408 ") || !strings.Contains(got, "X-Ran: not run") {
				t.Errorf("got %.300q, want status 408 and not run", got)
			}
		})
	}
}

// TestSlowRequestsTimeOut sends requests byte by byte for longer than the request timeout.
// Each byte must not extend the timeout.
func TestSlowRequestsTimeOut(t *testing.T) {
	limits := defaultLimits
	limits.RequestTimeout = 300 * time.Millisecond
	r := newTestServer(t, WithLimits(limits))
	for name, sent := range map[string]string{
		"in the headers": "POST /v1/completions HTTP/1.1\r\nX-A: ",
		"in the body":    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", r.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = conn.Write([]byte(sent))
			stop := make(chan struct{})
			defer close(stop)
			go writeSlowly(conn, stop)
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			got := make([]byte, 4096)
			n, err := conn.Read(got)
			if err != nil || !strings.HasPrefix(string(got[:n]), "HTTP/1.1 408 ") || !strings.Contains(string(got[:n]), "X-Ran: not run") {
				t.Errorf("got %.300q, %v, want status 408 and not run", got[:n], err)
			}
		})
	}
}

// writeSlowly writes a byte every 20 ms until stop is closed.
func writeSlowly(conn net.Conn, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
			_, _ = conn.Write([]byte("x"))
		}
	}
}

// TestPipelinedRequests sends several requests on one connection, in segments of various
// sizes: each must get a response, and a malformed one after a valid one be rejected.
func TestPipelinedRequests(t *testing.T) {
	r := newTestServer(t)
	const (
		get     = "GET /status HTTP/1.1\r\nHost: x\r\n\r\n"
		post    = "POST /nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nA : b\r\n\r\n"
		chunked = "POST /nowhere HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nA : b\r\n0\r\n\r\n"
		closing = "GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
		bad     = "GET /status HTTP/1.1\r\nHost : x\r\n\r\n"
	)
	for _, size := range []int{1, 2, 7, 40, 1000} {
		requests := get + post + chunked + closing
		if got := r.rawExchange(t, split(requests, size)...); strings.Count(got, "HTTP/1.1 200 ") != 2 || strings.Count(got, "HTTP/1.1 404 ") != 2 {
			t.Errorf("in segments of %d bytes: got %q", size, got)
		}
		if got := r.rawExchange(t, split(post+bad, size)...); strings.Contains(got, "HTTP/1.1 200 ") {
			t.Errorf("in segments of %d bytes: the malformed request was served: %q", size, got)
		}
	}
}

// split splits s into segments of at most size bytes.
func split(s string, size int) []string {
	var parts []string
	for len(s) > size {
		parts, s = append(parts, s[:size]), s[size:]
	}
	return append(parts, s)
}

// TestDuplicateHeaders sends headers twice, or empty, that must occur once with a value.
func TestDuplicateHeaders(t *testing.T) {
	r := newTestServer(t)
	const book = "POST /bookings HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 2\r\n"
	authorization := "Authorization: Bearer " + testKey + "\r\n"
	tests := []struct {
		name, sent string
		kind       fault.Kind
	}{
		{"two keys", book + authorization + "Authorization: Bearer another\r\n\r\n{}", fault.BadRequest},
		{"two Idempotency-Keys", book + authorization + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n{}", fault.BadRequest},
		{"empty Idempotency-Key", book + authorization + "Idempotency-Key: \r\n\r\n{}", fault.BadRequest},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got := r.rawExchange(t, tc.sent)
			a := fault.ResponseFor(tc.kind)
			if !strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", a.Status)) || !strings.Contains(got, a.Type) || !strings.Contains(got, "X-Ran: not run\r\n") {
				t.Errorf("got %.300q, want %s", got, a.Type)
			}
		})
	}
	for _, s := range r.services {
		if n := len(s.Record().Runs); n > 0 {
			t.Errorf("a service ran %d calls", n)
		}
	}
}

// TestExpectContinue sends the body only after it has received "100 Continue".
func TestExpectContinue(t *testing.T) {
	r := newTestServer(t)
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	body := completionBody("a", 2, false)
	_, _ = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", testKey, len(body))
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	buffer := make([]byte, 4096)
	n, err := conn.Read(buffer)
	if err != nil || string(buffer[:n]) != "HTTP/1.1 100 Continue\r\n\r\n" {
		t.Fatalf("got %q, %v", buffer[:n], err)
	}
	_, _ = fmt.Fprint(conn, body)
	if n, err = conn.Read(buffer); err != nil || !strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 200 ") {
		t.Errorf("got %q, %v", buffer[:n], err)
	}
}

func TestRateLimitRejection(t *testing.T) {
	r := newTestServer(t)
	r.admitErr = fault.New(fault.RateExceeded, "above the rate").WithRetryAfter(time.Now().Add(2500 * time.Millisecond))
	a := r.do("POST", "/v1/completions", completionBody("a", 5, true))
	if f := a.errorDetail(t); a.status != 429 || f.Ran != "not run" || a.header.Get("Retry-After") != "3" {
		t.Errorf("got %d %+v, Retry-After %q", a.status, f, a.header.Get("Retry-After"))
	}
}
