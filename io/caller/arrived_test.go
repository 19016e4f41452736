package caller

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/membudget"
)

// unreadConn returns a connection that no poller reads, on which a caller has sent a request.
func unreadConn(t *testing.T) (*conn, net.Conn) {
	t.Helper()
	caller, server := connPair(t)
	nbc, err := nbio.NBConn(server)
	if err != nil {
		t.Fatal(err)
	}
	c := newConn(nbc, newLimitHistory(defaultLimits), newTestMemory(), newServerMetrics(metrics.NewRegistry()), membudget.New(1<<20).Open(time.Now()))
	if _, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the request has arrived", time.Second, func() bool { return hasUnread(nbc) })
	return c, caller
}

// TestArrivedRequestKeepsIdleConnection lets the idle timeout pass, as after a suspension of
// the process, while a request has arrived that no poller has read yet. Closing the
// connection would end the request without an answer.
func TestArrivedRequestKeepsIdleConnection(t *testing.T) {
	c, _ := unreadConn(t)
	c.closeDeadline = time.Now().Add(-time.Second)
	c.enforceTimeouts(time.Now())
	if c.isClosed() {
		t.Error("the connection was closed although a request has arrived")
	}
}

// TestArrivedRequestKeepsDrainedConnection drains a connection on which a request has arrived
// that no poller has read yet. Shutting it down would end the request without an answer.
func TestArrivedRequestKeepsDrainedConnection(t *testing.T) {
	c, _ := unreadConn(t)
	now := time.Now()
	for range 3 * idleSweeps {
		now = now.Add(sweepInterval)
		c.closeWriteIfDelivered(now, true)
	}
	if c.lastRequest || c.writeClosed {
		t.Error("the connection was closed although a request has arrived")
	}
}

// TestArrivedRequestDoesNotTimeOut lets the deadline of a request pass, as during a suspension
// of the process, while the rest of the request has arrived that no poller has read yet.
func TestArrivedRequestDoesNotTimeOut(t *testing.T) {
	c, _ := unreadConn(t)
	defer func() {
		if p := recover(); p != nil || c.rejection != nil {
			t.Errorf("the request was rejected although its rest has arrived: %v", c.rejection)
		}
	}()
	c.requestDeadline = time.Now().Add(-time.Second)
	c.enforceTimeouts(time.Now())
}

// TestConnectionBeingReadIsNotClosed lets the deadlines of a connection pass while its poller
// has taken bytes from the kernel that are not parsed yet.
func TestConnectionBeingReadIsNotClosed(t *testing.T) {
	c, _ := unreadConn(t)
	if !c.beginRead() {
		t.Fatal("an open connection is not read")
	}
	if _, err := c.nbc.Read(make([]byte, 1024)); err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	c.closeDeadline = now.Add(-time.Second)
	for range 3 * idleSweeps {
		now = now.Add(sweepInterval)
		c.enforceTimeouts(now)
		c.closeWriteIfDelivered(now, true)
	}
	if c.isClosed() || c.writeClosed {
		t.Error("the connection was closed while its poller was reading")
	}
	c.endRead()
	c.enforceTimeouts(now)
	if !c.isClosed() || c.beginRead() {
		t.Error("the idle connection was not closed, or is read after its close")
	}
}
