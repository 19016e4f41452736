package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// largeAnswer is the size of an answer that the kernel can't buffer whole.
const largeAnswer = 16 << 20

// requestLargeAnswer sends a request to a server with the given idle limit, and returns the
// connection and the answer, of which only the head has been read.
func requestLargeAnswer(t *testing.T, idleLimit time.Duration) (*Server, net.Conn, *http.Response) {
	t.Helper()
	limits := defaultLimits
	limits.IdleTimeout = idleLimit
	body := strings.Repeat("x", largeAnswer)
	s, address := newForwardingTestServer(t, func(f *ForwardedRequest) {
		f.WriteHeader(http.StatusOK, http.Header{}, largeAnswer)
		_ = f.Write([]byte(body))
	}, WithLimits(limits))
	conn := dialTest(t, address)
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return s, conn, res
}

// readSlowly reads an answer of largeAnswer bytes within about d.
func readSlowly(t *testing.T, res *http.Response, d time.Duration) {
	t.Helper()
	const parts = 20
	total := int64(0)
	for total < largeAnswer {
		time.Sleep(d / parts)
		n, err := io.CopyN(io.Discard, res.Body, min(largeAnswer/parts+1, largeAnswer-total))
		if total += n; err != nil {
			t.Fatalf("the answer broke off after %d of %d bytes: %v", total, largeAnswer, err)
		}
	}
}

// TestIdleLimitKeepsAnswerBeingDelivered guards against an answer that breaks off, as its caller
// reads it for longer than the idle limit after the server has written it.
func TestIdleLimitKeepsAnswerBeingDelivered(t *testing.T) {
	const idleLimit = 100 * time.Millisecond
	_, _, res := requestLargeAnswer(t, idleLimit)
	readSlowly(t, res, idleLimit+idleCloseDelay+time.Second)
}

// TestIdleTimeBeginsAtDelivery guards against a connection that is closed before the idle limit
// has passed for its caller, who has just read the end of an answer.
func TestIdleTimeBeginsAtDelivery(t *testing.T) {
	const idleLimit = time.Second
	_, conn, res := requestLargeAnswer(t, idleLimit)
	readSlowly(t, res, idleLimit+idleCloseDelay/2)
	expectOpen(t, conn, idleLimit)
	expectClosed(t, conn, idleCloseDelay+time.Second)
}

// TestCallerThatReadsNothingIsClosed guards against a connection, and its buffered answer, that
// are kept for a caller who never reads.
func TestCallerThatReadsNothingIsClosed(t *testing.T) {
	if testing.Short() {
		t.Skip("waits for unresponsiveTime")
	}
	s, _, _ := requestLargeAnswer(t, 100*time.Millisecond)
	eventually(t, "the connection is closed", 2*unresponsiveTime, func() bool { return s.conns.countConns() == 0 })
}

// TestIdleLimitKeepsUnsentEndOfAnswer guards against an answer that breaks off, as its caller does
// not read for longer than the idle limit after the handler has returned, and its end is not in
// the kernel yet.
func TestIdleLimitKeepsUnsentEndOfAnswer(t *testing.T) {
	const idleLimit = 100 * time.Millisecond
	limits := defaultLimits
	limits.IdleTimeout = idleLimit
	written := make(chan int, 1)
	_, address := newForwardingTestServer(t, func(f *ForwardedRequest) {
		f.WriteHeader(http.StatusOK, http.Header{}, -1)
		total := 0
		for piece := make([]byte, maxWriteBytes); f.x.conn.unsent.bytes() == 0 && f.Write(piece) == nil; {
			total += len(piece)
		}
		written <- total
	}, WithLimits(limits))
	conn := dialTest(t, address)
	if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	want := <-written
	time.Sleep(idleLimit + idleCloseDelay + time.Second)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, res.Body); err != nil || n != int64(want) {
		t.Errorf("the answer broke off after %d of %d bytes: %v", n, want, err)
	}
}
