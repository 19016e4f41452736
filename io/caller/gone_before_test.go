package caller

import (
	"net"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/fault"
)

// TestGoneBeforeItBegan has a caller close behind its request, while nobody has
// read up to there: the request ends as it begins.
func TestGoneBeforeItBegan(t *testing.T) {
	for name, leaves := range map[string]bool{"stays": false, "leaves": true} {
		t.Run(name, func(t *testing.T) {
			caller, server := connected(t)
			nbc, err := nbio.NBConn(server)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := caller.Write([]byte("bytes that nobody reads")); err != nil {
				t.Fatal(err)
			}
			if leaves {
				_ = caller.Close()
			}
			var got *fault.Error
			c := newConn(nbc, defaultLimits, newServerMetrics(metrics.NewRegistry()))
			eventually(t, "the bytes are there", time.Second, func() bool {
				got = nil
				c.begin(func(f *fault.Error) { got = f })
				return (got != nil) == leaves
			})
			if leaves && got.Kind != fault.CallerGone {
				t.Errorf("ended with %v", got)
			}
		})
	}
}

// connected returns both ends of a connection.
func connected(t *testing.T) (caller, server net.Conn) {
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
