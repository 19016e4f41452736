package httpcall

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"monsoonfork/core/endpoint"
)

// TestSlowSinkIsNoSilence has a sink take longer than the read timeout for a part of a response,
// as for a caller that does not read. The endpoint continues, and the call must not fail.
func TestSlowSinkIsNoSilence(t *testing.T) {
	const readTimeout = 100 * time.Millisecond
	for name, caller := range map[string]doer{"pool": newTestPool(t), "client": newClient(t)} {
		e := newEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n", RequestIDHeader, r.Header.Get(RequestIDHeader))
			for range 8 {
				_, _ = io.WriteString(c, "1\r\nx\r\n")
				time.Sleep(readTimeout / 2)
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return true
		})
		received := 0
		limits := limitsWithin(5 * time.Second)
		limits.ReadTimeout = readTimeout
		err := caller.Do(context.Background(), Call{Address: e.address, Method: "GET", Target: "/", ID: "a", Limits: limits}, endpoint.Sink{
			OnHead: func(endpoint.Head) error { return nil },
			OnBody: func(data []byte) error {
				if received == 0 {
					time.Sleep(2 * readTimeout)
				}
				received += len(data)
				return nil
			},
		})
		if err != nil || received != 8 {
			t.Errorf("%s: %d bytes, %v", name, received, err)
		}
	}
}

// TestSlowSinkStopsReading has a sink take no more of a response without end. The endpoint must
// be able to write only what the kernel and a small buffer hold.
func TestSlowSinkStopsReading(t *testing.T) {
	const (
		pieceBytes = 64 << 10
		pieces     = 512
		maxWritten = 16 << 20 // The kernel's buffers hold the most of it.
	)
	for name, caller := range map[string]doer{"pool": newTestPool(t), "client": newClient(t)} {
		var written atomic.Int64
		e := newEndpoint(t, func(c net.Conn, r *http.Request, _ int) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n", RequestIDHeader, r.Header.Get(RequestIDHeader))
			piece := "10000\r\n" + strings.Repeat("x", pieceBytes) + "\r\n"
			for range pieces {
				n, err := io.WriteString(c, piece)
				if written.Add(int64(n)); err != nil {
					break
				}
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return false
		})
		received, delivered := int64(0), int64(0)
		err := caller.Do(context.Background(), Call{Address: e.address, Method: "GET", Target: "/", ID: "a", Limits: limitsWithin(20 * time.Second)}, endpoint.Sink{
			OnHead: func(endpoint.Head) error { return nil },
			OnBody: func(data []byte) error {
				if received == 0 {
					time.Sleep(700 * time.Millisecond)
					delivered = written.Load()
				}
				received += int64(len(data))
				return nil
			},
		})
		if err != nil || received != pieces*pieceBytes {
			t.Errorf("%s: %d bytes, %v", name, received, err)
		}
		if t.Logf("%s: %d bytes written while the sink waited", name, delivered); delivered > maxWritten {
			t.Errorf("%s: the endpoint could write %d bytes while the sink waited", name, delivered)
		}
	}
}
