package caller

import (
	"net"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/fault"
	"monsoonfork/core/membudget"
)

// TestDisconnectBeforeHandlingIsDetected has a caller close its connection right after its
// request, before the poller has read up to the close. The request must be cancelled when
// its handling starts.
func TestDisconnectBeforeHandlingIsDetected(t *testing.T) {
	for name, disconnects := range map[string]bool{"connected": false, "disconnected": true} {
		t.Run(name, func(t *testing.T) {
			caller, server := connPair(t)
			nbc, err := nbio.NBConn(server)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := caller.Write([]byte("unread bytes")); err != nil {
				t.Fatal(err)
			}
			if disconnects {
				_ = caller.Close()
			}
			var got *fault.Error
			c := newConn(nbc, newLimitHistory(defaultLimits), newTestMemory(), newServerMetrics(metrics.NewRegistry()), membudget.New(1<<20).Open(time.Now()))
			eventually(t, "request cancelled if and only if the caller has disconnected", time.Second, func() bool {
				got = nil
				c.setCancel(func(f *fault.Error) { got = f })
				return (got != nil) == disconnects
			})
			if disconnects && got.Kind != fault.CallerGone {
				t.Errorf("cancelled with %v, want CallerGone", got)
			}
		})
	}
}

// connPair returns both ends of a TCP connection.
func connPair(t *testing.T) (caller, server net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if caller, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = caller.Close(), server.Close() })
	return caller, server
}
