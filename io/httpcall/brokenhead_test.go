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

// wholeHead is the head of a response, with its end.
const wholeHead = "HTTP/1.1 200 OK\r\n" + RequestIDHeader + ": r\r\nX-Seal: s\r\nContent-Type: text/plain\r\nContent-Length: 0\r\n\r\n"

// checkBrokenHeads calls an endpoint that stops at each byte of the head of its response and
// closes the connection. The call must fail. Its sink may get the head only if all fields of it
// have arrived, and the line break that ends it has begun.
func checkBrokenHeads(t *testing.T, caller doer) {
	t.Helper()
	for end := range len(wholeHead) {
		e := newEndpoint(t, func(c net.Conn, _ *http.Request, _ int) bool {
			_, _ = c.Write([]byte(wholeHead[:end]))
			return false
		})
		heads := 0
		call := Call{Address: e.address, Method: http.MethodPost, Target: "/x", ID: "r", Body: []byte("body"), Limits: endpoint.Limits{ResponseDeadline: time.Now().Add(2 * time.Second)}}
		err := caller.Do(context.Background(), call, endpoint.Sink{OnHead: func(endpoint.Head) error { heads++; return nil }})
		allFields := end == len(wholeHead)-1
		if f := fault.From(err); err == nil || f.Ran != fault.MayHaveRun || heads != 0 && !allFields {
			t.Errorf("head that ends after %q: %v, ran %v, %d heads; want an error after a possible run", wholeHead[:end], err, f.Ran, heads)
		}
	}
}

// TestPoolResponseThatEndsInItsHead guards against an endpoint that stops in the middle of the head
// being taken for one that has answered with an empty or short body.
func TestPoolResponseThatEndsInItsHead(t *testing.T) { checkBrokenHeads(t, newTestPool(t)) }

// TestClientResponseThatEndsInItsHead is the same for a Client.
func TestClientResponseThatEndsInItsHead(t *testing.T) { checkBrokenHeads(t, newClient(t)) }
