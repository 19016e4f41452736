package caller

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestRejectionKeepsEarlierAnswer sends a valid request and, while it is handled, one that
// must be rejected. The first one may not lose its answer, and the rejection follows it.
func TestRejectionKeepsEarlierAnswer(t *testing.T) {
	limits := defaultLimits
	limits.RequestTimeout = 100 * time.Millisecond
	for name, tc := range map[string]struct {
		second string
		status int
	}{
		"malformed":  {"GET /2 HTTP/1.1\r\nHost : x\r\n\r\n", http.StatusBadRequest},
		"not HTTP":   {"hello there\r\n\r\n", http.StatusBadRequest},
		"too large":  {fmt.Sprintf("POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", limits.MaxBodyBytes+1), http.StatusRequestEntityTooLarge},
		"incomplete": {"POST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nab", http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			const bytes = 100
			_, address := newForwardingTestServer(t, func(f *ForwardedRequest) {
				time.Sleep(3 * limits.RequestTimeout)
				f.WriteHeader(http.StatusOK, http.Header{}, -1)
				_ = f.Write([]byte(strings.Repeat("x", bytes)))
			}, WithLimits(limits))
			caller := dialTest(t, address)
			if _, err := io.WriteString(caller, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"+tc.second); err != nil {
				t.Fatal(err)
			}
			in := bufio.NewReader(caller)
			res, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("first answer: %v", err)
			}
			body, err := io.ReadAll(res.Body)
			if err != nil || res.StatusCode != http.StatusOK || len(body) != bytes {
				t.Fatalf("first answer: status %d, %d bytes, %v", res.StatusCode, len(body), err)
			}
			res, err = http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("second answer: %v", err)
			}
			if res.StatusCode != tc.status || !res.Close {
				t.Errorf("second answer: status %d, close %v, want %d and close", res.StatusCode, res.Close, tc.status)
			}
			if _, err := io.ReadAll(res.Body); err != nil {
				t.Error(err)
			}
			if n, err := in.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("after the rejection: %d bytes, %v, want EOF", n, err)
			}
		})
	}
}
