package httpcall

import (
	"context"
	"net"
	"net/http"
	"reflect"
	"testing"
	"time"

	"monsoonfork/core/endpoint"
)

const (
	// bodilessAnswer is a complete response: its status has no body.
	bodilessAnswer = "HTTP/1.1 204 No Content\r\n" + RequestIDHeader + ": r\r\n\r\n"
	// wholeAnswer is a complete response with a body.
	wholeAnswer = "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\nContent-Length: 2\r\n\r\nok"
	// secondAnswer is a response to no call.
	secondAnswer = "HTTP/1.1 503 Service Unavailable\r\nX-Second: 1\r\nContent-Length: 5\r\n\r\nother"
	// unboundedAnswer is a response to no call, whose length is not announced.
	unboundedAnswer = "HTTP/1.1 503 Service Unavailable\r\nX-Second: 1\r\n\r\nother"
)

// checkSecondAnswer calls an endpoint that sends a second response in the same write as the
// first one. The call must get the first one alone.
func checkSecondAnswer(t *testing.T, caller doer, first, second string, want endpoint.Head, wantBody string) {
	t.Helper()
	e := newEndpoint(t, func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = c.Write([]byte(first + second))
		return false
	})
	var got endpoint.Head
	body := ""
	call := Call{Address: e.address, Method: http.MethodPost, Target: "/x", ID: "r", Body: []byte("body"), Limits: endpoint.Limits{ResponseDeadline: time.Now().Add(2 * time.Second)}}
	err := caller.Do(context.Background(), call, endpoint.Sink{
		OnHead: func(h endpoint.Head) error { got = h; return nil },
		OnBody: func(b []byte) error { body += string(b); return nil },
	})
	if err != nil {
		t.Errorf("%q and %q: %v", first, second, err)
	}
	if got.Status != want.Status || !reflect.DeepEqual(got.Header, want.Header) || body != wantBody {
		t.Errorf("%q and %q: got %d %v %q, want %d %v %q", first, second, got.Status, got.Header, body, want.Status, want.Header, wantBody)
	}
}

// checkSecondAnswers calls checkSecondAnswer with each pair of responses.
func checkSecondAnswers(t *testing.T, caller doer) {
	t.Helper()
	for _, second := range []string{secondAnswer, unboundedAnswer, bodilessAnswer} {
		bodiless := endpoint.Head{Status: http.StatusNoContent, Header: http.Header{RequestIDHeader: {"r"}}}
		checkSecondAnswer(t, caller, bodilessAnswer, second, bodiless, "")
		whole := endpoint.Head{Status: http.StatusOK, Header: http.Header{RequestIDHeader: {"r"}, "Content-Length": {"2"}}}
		checkSecondAnswer(t, caller, wholeAnswer, second, whole, "ok")
	}
}

// TestClientSecondAnswerIsNotRead guards against a second response changing the head of the
// first one, also while the call reads it, or making the call fail.
func TestClientSecondAnswerIsNotRead(t *testing.T) { checkSecondAnswers(t, newClient(t)) }

// TestPoolSecondAnswerIsNotRead is the same for a Pool.
func TestPoolSecondAnswerIsNotRead(t *testing.T) { checkSecondAnswers(t, newTestPool(t)) }
