package httpcall

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/fault"
)

// endlessBytes is how much an endpoint writes of a response without end. It is far above
// every limit, and small enough for a test that fails.
const endlessBytes = 96 << 20

// writeEndlessly writes start and then part again and again, until the connection is closed
// or endlessBytes are written. It then waits for the close, and signals it.
func writeEndlessly(c net.Conn, start, part string, closed chan<- struct{}) {
	_, err := io.WriteString(c, start)
	block := strings.Repeat(part, 1+(64<<10)/len(part))
	for written := 0; err == nil && written < endlessBytes; written += len(block) {
		_, err = io.WriteString(c, block)
	}
	if err == nil {
		_, _ = io.Copy(io.Discard, c)
	}
	closed <- struct{}{}
}

// endlessHeads are responses whose head does not end: what they begin with, and what is
// repeated.
var endlessHeads = map[string][2]string{
	"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"header fields":     {"HTTP/1.1 200 OK\r\n", "X-More: 0123456789\r\n"},
	"a header line":     {"HTTP/1.1 200 OK\r\nX-Long: ", "0123456789"},
	"a status line":     {"HTTP/1.1 200 ", "0123456789"},
}

// doer is a Client or a Pool.
type doer interface {
	Do(ctx context.Context, call Call, sink endpoint.Sink) error
}

// checkEndlessHeads calls endpoints whose response head does not end. The call has to fail
// before its deadline as broken and close its connection, and other calls have to continue.
func checkEndlessHeads(t *testing.T, caller doer) {
	t.Helper()
	sound := newEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
		return writeResponse(c, r.Header.Get(RequestIDHeader), "x")
	})
	for name, parts := range endlessHeads {
		closed := make(chan struct{}, 1)
		e := newEndpoint(t, func(c net.Conn, _ *http.Request, _ int) bool {
			writeEndlessly(c, parts[0], parts[1], closed)
			return false
		})
		var a recorder
		err := caller.Do(context.Background(), Call{Address: e.address, Method: "GET", Target: "/", ID: "a", Limits: limitsWithin(3 * time.Second)}, a.sink())
		if !fault.Is(err, fault.AnswerBroken) || fault.From(err).Ran != fault.MayHaveRun {
			t.Errorf("%s without end: %v, want AnswerBroken and MayHaveRun", name, err)
		}
		select {
		case <-closed:
		case <-time.After(time.Second):
			t.Errorf("%s without end: the connection was not closed", name)
		}
		if err := caller.Do(context.Background(), Call{Address: sound.address, Method: "GET", Target: "/", ID: name, Limits: limitsWithin(3 * time.Second)}, a.sink()); err != nil {
			t.Errorf("%s without end: a call to another endpoint failed: %v", name, err)
		}
	}
}

// TestPoolHeadWithoutEnd guards against a response head that fills the memory.
func TestPoolHeadWithoutEnd(t *testing.T) { checkEndlessHeads(t, newTestPool(t)) }

// TestClientHeadWithoutEnd guards against a response head that fills the memory.
func TestClientHeadWithoutEnd(t *testing.T) { checkEndlessHeads(t, newClient(t)) }
