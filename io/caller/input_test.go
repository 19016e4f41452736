package caller

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"monsoonfork/core/fault"
)

// TestBadInput sends what the server has to refuse. Every refusal says what is
// wrong and that the request did not run.
func TestBadInput(t *testing.T) {
	r := newRig(t)
	good := completionBody("a b", 5, false)
	tests := []struct {
		name, method, target, body string
		headers                    []string
		status                     int
		kind                       fault.Kind
	}{
		{"unknown route", "GET", "/nowhere", "", nil, 404, fault.UnknownRoute},
		{"wrong method", "PUT", "/v1/completions", good, nil, 404, fault.UnknownRoute},
		{"no key", "POST", "/v1/completions", good, []string{"Authorization", ""}, 401, fault.Unauthenticated},
		{"unknown key", "POST", "/v1/completions", good, []string{"Authorization", "Bearer nope"}, 401, fault.Unauthenticated},
		{"not a bearer", "POST", "/v1/completions", good, []string{"Authorization", "Basic abc"}, 401, fault.Unauthenticated},
		{"huge key", "POST", "/v1/completions", good, []string{"Authorization", "Bearer " + strings.Repeat("k", 1000)}, 401, fault.Unauthenticated},
		{"another organisation's route", "GET", "/rich", "", nil, 403, fault.Forbidden},
		{"unknown model", "POST", "/v1/completions", strings.Replace(good, "summary", "nope", 1), nil, 404, fault.UnknownModel},
		{"not JSON", "POST", "/v1/completions", "{", nil, 400, fault.BadRequest},
		{"wrong type", "POST", "/v1/completions", `{"model":3}`, nil, 400, fault.BadRequest},
		{"no prompt", "POST", "/v1/completions", `{"model":"summary"}`, nil, 400, fault.BadRequest},
		{"empty prompt", "POST", "/v1/completions", `{"model":"summary","prompt":" "}`, nil, 400, fault.BadRequest},
		{"zero max_tokens", "POST", "/v1/completions", completionBody("a", 0, false), nil, 400, fault.BadRequest},
		{"two answers", "POST", "/v1/completions", `{"model":"summary","prompt":"a","n":2}`, nil, 400, fault.BadRequest},
		{"too many tokens", "POST", "/v1/completions", completionBody("a", 5000, false), nil, 413, fault.RequestTooLarge},
		{"long prompt", "POST", "/v1/completions", completionBody(strings.Repeat("ab ", 4000), 5, false), nil, 413, fault.RequestTooLarge},
		{"no messages", "POST", "/v1/chat/completions", `{"model":"summary","messages":[]}`, nil, 400, fault.BadRequest},
		{"an image", "POST", "/v1/chat/completions", `{"model":"summary","messages":[{"content":[{"type":"image_url"}]}]}`, nil, 400, fault.BadRequest},
		{"bad request id", "POST", "/v1/completions", good, []string{"X-Request-Id", "a b"}, 400, fault.BadRequest},
		{"long request id", "POST", "/v1/completions", good, []string{"X-Request-Id", strings.Repeat("i", 65)}, 400, fault.BadRequest},
		{"long Idempotency-Key", "POST", "/bookings", "{}", []string{"Idempotency-Key", strings.Repeat("i", 256)}, 400, fault.BadRequest},
		{"key in the prompt", "POST", "/v1/completions", completionBody("my key is "+testKey, 5, false), nil, 400, fault.BadRequest},
		{"escaped key in the prompt", "POST", "/v1/completions", `{"model":"summary","prompt":"\u006d` + testKey[1:] + `"}`, nil, 400, fault.BadRequest},
		{"key in the path", "GET", "/addresses/" + testKey, "", nil, 400, fault.BadRequest},
		{"huge body", "POST", "/v1/completions", strings.Repeat("x", defaultLimits.BodyBytes+1), nil, 413, fault.RequestTooLarge},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			a := r.do(tc.method, tc.target, tc.body, tc.headers...)
			if a.err != nil {
				t.Fatal(a.err)
			}
			f := a.failure(t)
			if a.status != tc.status || f.Type != fault.ResponseFor(tc.kind).Type || f.Ran != "not run" || f.Message == "" {
				t.Errorf("got %d %+v, want %d %v", a.status, f, tc.status, tc.kind)
			}
		})
	}
	for _, e := range append(r.prefill, r.decode...) {
		if n := len(e.Record().Requests); n > 0 {
			t.Errorf("an engine got %d requests", n)
		}
	}
	for _, s := range r.services {
		if n := len(s.Record().Runs); n > 0 {
			t.Errorf("a service ran %d calls", n)
		}
	}
}

// TestMalformedHTTP sends what is not HTTP, or too much of it.
func TestMalformedHTTP(t *testing.T) {
	r := newRig(t)
	long := strings.Repeat("h", defaultLimits.HeaderBytes+1)
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
		{"huge header", "GET / HTTP/1.1\r\nX-A: " + long + "\r\n\r\n", fault.RequestTooLarge},
		{"huge header without an end", "GET / HTTP/1.1\r\nX-A: " + long, fault.RequestTooLarge},
		{"many headers", "GET / HTTP/1.1\r\n" + strings.Repeat("X-A: b\r\n", 10_000) + "\r\n", fault.RequestTooLarge},
		{"huge path", "GET /" + long + " HTTP/1.1\r\n\r\n", fault.RequestTooLarge},
		{"length and chunks", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /status HTTP/1.1\r\nHost: x\r\n\r\n", fault.BadRequest},
		{"two different lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", fault.BadRequest},
		{"unknown coding", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip\r\n\r\nxx", fault.BadRequest},
		{"blank before the colon", "GET / HTTP/1.1\r\nHost: x\r\nX-A : b\r\n\r\n", fault.BadRequest},
		{"zero byte in a header", "GET / HTTP/1.1\r\nHost: x\r\nX-A: b\x00c\r\n\r\n", fault.BadRequest},
		{"folded header with a colon", "GET / HTTP/1.1\r\nHost: x\r\nX-A: b\r\n c: d\r\n\r\n", fault.BadRequest},
		{"blank in a name", "GET / HTTP/1.1\r\nHost: x\r\nX-A Y: b\r\n\r\n", fault.BadRequest},
		{"folded header", "GET / HTTP/1.1\r\nHost: x\r\nX-A: b\r\n c\r\n\r\n", fault.BadRequest},
		{"huge method", strings.Repeat("G", defaultLimits.HeaderBytes+1) + " / HTTP/1.1\r\n\r\n", fault.RequestTooLarge},
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

// TestSlowRequests sends requests that do not come to an end.
func TestSlowRequests(t *testing.T) {
	limits := defaultLimits
	limits.RequestTime = 200 * time.Millisecond
	r := newRig(t, WithLimits(limits))
	for name, sent := range map[string]string{
		"in the headers": "POST /v1/completions HTTP/1.1\r\nHost",
		"in the body":    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc",
	} {
		t.Run(name, func(t *testing.T) {
			got := r.rawExchange(t, sent)
			if !strings.HasPrefix(got, "HTTP/1.1 408 ") || !strings.Contains(got, "X-Ran: not run") {
				t.Errorf("got %.300q", got)
			}
		})
	}
}

// TestTrickledRequests sends requests whose bytes keep coming, too slowly.
func TestTrickledRequests(t *testing.T) {
	limits := defaultLimits
	limits.RequestTime = 300 * time.Millisecond
	r := newRig(t, WithLimits(limits))
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
			go trickle(conn, stop)
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			got := make([]byte, 4096)
			n, err := conn.Read(got)
			if err != nil || !strings.HasPrefix(string(got[:n]), "HTTP/1.1 408 ") || !strings.Contains(string(got[:n]), "X-Ran: not run") {
				t.Errorf("got %.300q, %v", got[:n], err)
			}
		})
	}
}

// trickle writes a byte every now and then.
func trickle(conn net.Conn, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
			_, _ = conn.Write([]byte("x"))
		}
	}
}

// TestPipelinedRequests sends requests in pieces of all sizes on one connection:
// each is answered, and a malformed one behind good ones is noticed.
func TestPipelinedRequests(t *testing.T) {
	r := newRig(t)
	const (
		get     = "GET /status HTTP/1.1\r\nHost: x\r\n\r\n"
		post    = "POST /nowhere HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nA : b\r\n\r\n"
		chunked = "POST /nowhere HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nA : b\r\n0\r\n\r\n"
		closing = "GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
		bad     = "GET /status HTTP/1.1\r\nHost : x\r\n\r\n"
	)
	for _, size := range []int{1, 2, 7, 40, 1000} {
		whole := get + post + chunked + closing
		if got := r.rawExchange(t, pieces(whole, size)...); strings.Count(got, "HTTP/1.1 200 ") != 2 || strings.Count(got, "HTTP/1.1 404 ") != 2 {
			t.Errorf("in pieces of %d: got %q", size, got)
		}
		if got := r.rawExchange(t, pieces(post+bad, size)...); strings.Contains(got, "HTTP/1.1 200 ") {
			t.Errorf("in pieces of %d: the malformed request was served: %q", size, got)
		}
	}
}

// pieces cuts s into pieces of a size.
func pieces(s string, size int) []string {
	var cut []string
	for len(s) > size {
		cut, s = append(cut, s[:size]), s[size:]
	}
	return append(cut, s)
}

// TestDoubledHeaders sends headers twice of which there may be one only.
func TestDoubledHeaders(t *testing.T) {
	r := newRig(t)
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

// TestExpectContinue waits for "100 Continue" before it sends its body.
func TestExpectContinue(t *testing.T) {
	r := newRig(t)
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

func TestBudgetRefusal(t *testing.T) {
	r := newRig(t)
	r.admit = fault.New(fault.RateExceeded, "above the rate").WithRetryAfter(time.Now().Add(2500 * time.Millisecond))
	a := r.do("POST", "/v1/completions", completionBody("a", 5, true))
	if f := a.failure(t); a.status != 429 || f.Ran != "not run" || a.header.Get("Retry-After") != "3" {
		t.Errorf("got %d %+v, Retry-After %q", a.status, f, a.header.Get("Retry-After"))
	}
}
