package caller

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
)

const (
	// stopTrials is how often a server is closed while connections are opened.
	stopTrials = 50
	// stopDialers is the number of goroutines that open connections meanwhile.
	stopDialers = 8
)

// TestCloseEndsConnectionsBeingAccepted opens connections while the server closes. One that
// was accepted while its pollers stop was neither served nor closed: its caller waited until
// the process ended.
func TestCloseEndsConnectionsBeingAccepted(t *testing.T) {
	for range stopTrials {
		s := NewForwardingServer(respondEmpty, log.NewNopLogger())
		address, err := s.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var closed atomic.Bool
		var mu sync.Mutex
		var conns []net.Conn
		opened := make(chan struct{}, 1)
		var dialers sync.WaitGroup
		for range stopDialers {
			dialers.Go(func() {
				for !closed.Load() {
					c, err := net.DialTimeout("tcp", string(address), time.Second)
					if err != nil {
						return
					}
					mu.Lock()
					conns = append(conns, c)
					mu.Unlock()
					select {
					case opened <- struct{}{}:
					default:
					}
				}
			})
		}
		<-opened
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		closed.Store(true) // The port may have another listener soon.
		dialers.Wait()
		for _, c := range conns {
			// The caller's host may learn only from its next packet that a connection which was
			// never accepted has ended.
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			_ = c.SetReadDeadline(time.Now().Add(time.Second))
			if _, err := c.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("a connection of %d is still open after the close", len(conns))
			}
			_ = c.Close()
		}
	}
}
