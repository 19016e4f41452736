package httpcall

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"monsoonfork/core/endpoint"
)

// TestSlowSinkIsNoSilence has a sink take longer than the read timeout for a part of a response,
// as for a caller that does not read. The endpoint goes on, and the call must not fail.
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
