package httpcall

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/fault"
)

// answerWith returns a response to the call r with further lines in its head.
func answerWith(lines string) string {
	return "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length: 2\r\n" + lines + "\r\n\r\nok"
}

// malformedAnswers are responses to the call r whose head has a line that HTTP does not allow.
var malformedAnswers = map[string]string{
	"space in a name":                     answerWith("X-Se al: s"),
	"space before a colon":                answerWith("X-Seal : s"),
	"tab before a colon":                  answerWith("X-Seal\t: s"),
	"control byte in a name":              answerWith("X-Se\x01al: s"),
	"zero byte in a name":                 answerWith("X-Se\x00al: s"),
	"byte above 0x7f in a name":           answerWith("X-Se\xe9al: s"),
	"separator in a name":                 answerWith("X(Seal): s"),
	"no name":                             answerWith(": s"),
	"no colon":                            answerWith("X-Seal"),
	"folded line":                         answerWith("X-Seal: s\r\n t: u"),
	"folded line with a tab":              answerWith("X-Seal: s\r\n\tt: u"),
	"folded first line":                   "HTTP/1.1 200 OK\r\n X-Seal: s\r\n" + RequestIDHeader + ": r\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a value":             answerWith("X-Seal: s\x01"),
	"zero byte in a value":                answerWith("X-Seal: s\x00t"),
	"delete byte in a value":              answerWith("X-Seal: s\x7f"),
	"carriage return in a value":          answerWith("X-Seal: s\rt"),
	"space before the colon of the id":    "HTTP/1.1 200 OK\r\n" + RequestIDHeader + " : r\r\nContent-Length: 2\r\n\r\nok",
	"space before the colon of a length":  "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length : 1\r\n\r\nok",
	"space before the colon of a coding":  "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"malformed length before a sound one": "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length : 1\r\nContent-Length: 2\r\n\r\nok",
	"malformed interim response":          "HTTP/1.1 103 Early Hints\r\nX-Se al: s\r\n\r\n" + wholeAnswer,
	"malformed after an interim response": "HTTP/1.1 100 Continue\r\n\r\n" + answerWith("X-Se al: s"),
	"malformed refusal":                   "HTTP/1.1 503 Service Unavailable\r\n" + RequestIDHeader + ": r\r\nRetry-After : 1\r\nContent-Length: 0\r\n\r\n",
	"two lengths":                         "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok",
	"length with a sign":                  "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length: +2\r\n\r\nok",
	"empty length":                        "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length:\r\nContent-Length: 2\r\n\r\nok",
	"length that is no number":            "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length: 0x2\r\n\r\nok",
	"length above all numbers":            "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length: 99999999999999999999\r\n\r\nok",
	"length and coding":                   "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"coding and length":                   "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"unknown coding":                      "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\nTransfer-Encoding: gzip\r\n\r\nok",
	"two codings":                         "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"coding in HTTP/1.0":                  "HTTP/1.0 200 OK\r\n" + RequestIDHeader + ": r\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"version 9.9":                         "HTTP/9.9 200 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length: 2\r\n\r\nok",
	"version 0.9":                         "HTTP/0.9 200 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length: 2\r\n\r\nok",
	"version 2.0":                         "HTTP/2.0 200 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length: 2\r\n\r\nok",
	"version without a minor number":      "HTTP/1 200 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length: 2\r\n\r\nok",
	"name of another protocol":            "HTPP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length: 2\r\n\r\nok",
	"status of two digits":                "HTTP/1.1 20 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length: 2\r\n\r\nok",
	"status of four digits":               "HTTP/1.1 0200 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length: 2\r\n\r\nok",
	"letters before the status":           "HTTP/1.1 abc200 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length: 2\r\n\r\nok",
	"control byte in the reason":          "HTTP/1.1 200 O\x01K\r\n" + RequestIDHeader + ": r\r\nContent-Length: 2\r\n\r\nok",
}

// postCall returns a call with a small body and the id r.
func postCall(e *testEndpoint) Call {
	return Call{Address: e.address, Method: http.MethodPost, Target: "/x", ID: "r", Body: []byte("body"), Limits: endpoint.Limits{ResponseDeadline: time.Now().Add(2 * time.Second)}}
}

// writeAnswer returns the handler of an endpoint that answers each request with text and closes the
// connection.
func writeAnswer(text string) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = c.Write([]byte(text))
		return false
	}
}

// callEndpoint makes a call to an endpoint that sends text, and returns what the sink got of it.
func callEndpoint(t *testing.T, caller doer, text string) (recorder, error) {
	t.Helper()
	var a recorder
	err := caller.Do(context.Background(), postCall(newEndpoint(t, writeAnswer(text))), a.sink())
	return a, err
}

// checkMalformed makes a call to an endpoint that sends text. It must fail without a head.
func checkMalformed(t *testing.T, caller doer, text string) {
	t.Helper()
	a, err := callEndpoint(t, caller, text)
	f := fault.From(err)
	if isFailure := f.Kind == fault.AnswerBroken || f.Kind == fault.EndpointFailed; err == nil || !isFailure || f.Ran != fault.MayHaveRun || a.head.Header != nil {
		t.Errorf("%q: %v, head %v; want a failure of the endpoint without a head", text, err, a.head)
	}
}

// TestPoolRejectsMalformedHeads guards against an answer of an engine in trouble that callers get as
// an answer, with a malformed line passed on or a body cut by a length that is none.
func TestPoolRejectsMalformedHeads(t *testing.T) {
	p := newTestPool(t)
	for name, text := range malformedAnswers {
		t.Run(name, func(t *testing.T) { checkMalformed(t, p, text) })
	}
}

// TestClientRejectsMalformedHeads is the same for a Client.
func TestClientRejectsMalformedHeads(t *testing.T) {
	c := newClient(t)
	for name, text := range malformedAnswers {
		t.Run(name, func(t *testing.T) { checkMalformed(t, c, text) })
	}
}

// TestPoolRejectsMalformedSecondHead guards against a malformed answer on a connection that was used
// before, and against a further use of that connection.
func TestPoolRejectsMalformedSecondHead(t *testing.T) {
	e := newEndpoint(t, func(c net.Conn, r *http.Request, number int) bool {
		text := answerWith("X-Se al: s")
		if id := r.Header.Get(RequestIDHeader); number == 1 {
			return writeResponse(c, id, "ok")
		}
		_, err := c.Write([]byte(text))
		return err == nil
	})
	p := newTestPool(t)
	if body, err := poolCall(t, p, e, "first", func(*Call) {}); err != nil || body != "ok" {
		t.Fatalf("first call: %q, %v", body, err)
	}
	if body, err := poolCall(t, p, e, "r", func(*Call) {}); !fault.Is(err, fault.AnswerBroken) {
		t.Errorf("second call: %q, %v; want AnswerBroken", body, err)
	}
	if body, err := poolCall(t, p, e, "third", func(*Call) {}); err != nil || body != "ok" || e.accepted.Load() != 2 {
		t.Errorf("third call: %q, %v on %d connections; want a new connection", body, err, e.accepted.Load())
	}
}
