package caller

import (
	"bufio"
	"io"
	"net/http"
	"testing"
)

// TestAnnouncedCloseServesNewConnections guards against a planned stop that tells callers of
// the close only once idle connections are being closed, so that requests cross the close, and
// against one that turns new connections away while the load balancer still sends them.
func TestAnnouncedCloseServesNewConnections(t *testing.T) {
	s, address := newForwardingTestServer(t, func(f *ForwardedRequest) { f.WriteHeader(http.StatusOK, http.Header{}, 0) }, WithIdleClose())
	for _, announced := range []bool{false, true, true} {
		if announced {
			s.AnnounceClose()
		}
		conn := dialTest(t, address)
		in := bufio.NewReader(conn)
		if _, err := io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if res.StatusCode != http.StatusOK || res.Close != announced {
			t.Errorf("status %d, Connection: close is %v, want %v", res.StatusCode, res.Close, announced)
		}
		if !announced {
			continue
		}
		if _, err := in.ReadByte(); err != io.EOF {
			t.Errorf("%v after the last answer, want the end of the connection", err)
		}
	}
}
