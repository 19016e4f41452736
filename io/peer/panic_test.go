package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
)

// TestPanicInHandlerEndsOnlyItsCall guards against a message of another instance that ends the
// process, and again each process that it is sent to.
func TestPanicInHandlerEndsOnlyItsCall(t *testing.T) {
	a, _ := newTestLinks(t, "a-1", "d1")
	b, address := newTestLinks(t, "b-1", "d1")
	link.Handle(b.RoleLinks(), "Test.Panic", func(context.Context, ident.InstanceID, *Hello) (proto.Message, error) { panic("odd message") })
	link.Handle(b.RoleLinks(), "Test.Echo", echo)
	_, err := a.CallAddress(t.Context(), address, "Test.Panic", &Hello{}, &Hello{})
	if e := fault.From(err); !fault.Is(err, fault.Internal) || e.Ran != fault.MayHaveRun {
		t.Errorf("got error %v, want Internal and MayHaveRun", err)
	}
	checkEcho(t, a, address)
}

// panickingConn is a connection on which each read panics.
type panickingConn struct{ net.Conn }

func (panickingConn) Read([]byte) (int, error) { panic("odd bytes") }

// TestPanicInReadingEndsOnlyItsStream guards against bytes of another instance that end the
// process in one of the goroutines that read them, where no handler's recover reaches.
func TestPanicInReadingEndsOnlyItsStream(t *testing.T) {
	var logged bytes.Buffer
	registry := metrics.NewRegistry()
	l := New("a-1", "d1", log.NewLogfmtLogger(log.NewSyncWriter(&logged)), WithMetrics(registry))
	t.Cleanup(func() { _ = l.Close() })
	for name, serve := range map[string]func(net.Conn){
		"stream":     func(c net.Conn) { l.serveStream(c, "b-1") },
		"connection": l.serveConn,
	} {
		near, far := net.Pipe()
		served := make(chan struct{})
		l.wg.Go(func() {
			defer close(served)
			_ = l.contain(name, func() { serve(panickingConn{near}) })
		})
		_, _ = io.Copy(io.Discard, far) // Ends when the connection is closed.
		<-served
	}
	if n := metrics.GetOrRegisterCounter("Peer.ContainedPanics", registry).Count(); n != 2 || strings.Count(logged.String(), "panic contained") != 2 {
		t.Errorf("%d panics counted, want 2; log: %s", n, logged.String())
	}
}
