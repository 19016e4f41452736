package caller

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// TestCloseWaitsForAnswersBeingWritten closes a server after a handler has returned and while
// the write of its answer is blocked. The answer must reach its caller.
func TestCloseWaitsForAnswersBeingWritten(t *testing.T) {
	proceed := make(chan struct{})
	s, address := newForwardingTestServer(t, func(f *ForwardedRequest) {
		<-proceed
		f.WriteHeader(http.StatusOK, http.Header{}, 0)
	})
	caller := dialTest(t, address)
	if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	c := onlyConn(t, s)
	eventually(t, "the handler runs", time.Second, func() bool { return s.openRequests.Load() == 1 })
	c.nbc.Lock() // Blocks the write of the answer.
	close(proceed)
	eventually(t, "the handler returned", time.Second, func() bool { return s.openRequests.Load() == 0 })
	stopped := make(chan struct{})
	go func() {
		s.awaitRequests()
		close(stopped)
	}()
	select {
	case <-stopped:
		t.Error("the server stops before the answer is written")
	case <-time.After(5 * closePollInterval):
	}
	c.nbc.Unlock()
	if res, err := http.ReadResponse(bufio.NewReader(caller), nil); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("got %v, %v, want status 200", res, err)
	}
	<-stopped
}

// TestDrainWaitsForArrivedRequests drains a server while a request has arrived that no poller
// has parsed yet. A drain that is complete before leads to a close without an answer.
func TestDrainWaitsForArrivedRequests(t *testing.T) {
	c, _ := unreadConn(t)
	var table connTable
	table.add(c.nbc, c)
	if table.countActiveRequests() == 0 {
		t.Error("a request that has arrived is not counted")
	}
	if _, err := c.nbc.Read(make([]byte, 1024)); err != nil {
		t.Fatal(err)
	}
	if n := table.countActiveRequests(); n != 0 {
		t.Errorf("%d requests are counted on an idle connection", n)
	}
	c.beginRead()
	if table.countActiveRequests() == 0 {
		t.Error("a request being parsed is not counted")
	}
}

// TestClosedServerRunsNoRequest sends requests while a server closes. A handler that started
// after the running ones were cancelled would be cut off without an answer.
func TestClosedServerRunsNoRequest(t *testing.T) {
	proceed := make(chan struct{})
	started := make(chan string, 10)
	s := NewForwardingServer(func(f *ForwardedRequest) {
		started <- f.Request.URL.Path
		<-proceed
	}, log.NewNopLogger())
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	first, second := dialTest(t, string(address)), dialTest(t, string(address))
	if _, err := io.WriteString(first, "GET /first HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-started
	closed := make(chan error, 1)
	go func() { closed <- s.Close() }()
	time.Sleep(50 * time.Millisecond)
	if _, err := io.WriteString(second, "GET /second HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	close(proceed)
	if err := <-closed; err != nil {
		t.Fatal(err)
	}
	if len(started) > 0 {
		t.Errorf("the handler of %s started during the close", <-started)
	}
}
