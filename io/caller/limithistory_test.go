package caller

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/lesismal/nbio"
)

// TestRequestTimeoutFollowsHeaderTimeoutDown guards against a request timeout that, once raised
// to the header timeout, stays there when the header timeout falls again.
func TestRequestTimeoutFollowsHeaderTimeoutDown(t *testing.T) {
	h := newLimitHistory(defaultLimits)
	now := time.Now()
	h.set(Limits{HeaderTimeout: 3 * defaultLimits.RequestTimeout}, now)
	if got := h.at(now).RequestTimeout; got != 3*defaultLimits.RequestTimeout {
		t.Errorf("request timeout %v with a longer header timeout, want that", got)
	}
	h.set(Limits{HeaderTimeout: time.Second}, now)
	if got := h.at(now.Add(2 * requestLimitGrace)).RequestTimeout; got != defaultLimits.RequestTimeout {
		t.Errorf("request timeout %v after the header timeout fell, want %v", got, defaultLimits.RequestTimeout)
	}
	h.set(Limits{RequestTimeout: 30 * time.Second}, now)
	h.set(Limits{HeaderTimeout: 2 * time.Second}, now)
	if got := h.at(now.Add(2 * requestLimitGrace)).RequestTimeout; got != 30*time.Second {
		t.Errorf("request timeout %v, want the last one set, 30s", got)
	}
}

// TestLimitsChangeWhileConnectionOpens guards against a new connection that misses a change of
// the limits, and is closed too early, since the change comes between the reading of the limits
// and the connection's entry in the table.
func TestLimitsChangeWhileConnectionOpens(t *testing.T) {
	_, server := connPair(t)
	nbc, err := nbio.NBConn(server)
	if err != nil {
		t.Fatal(err)
	}
	s := NewForwardingServer(nil, log.NewNopLogger())
	shard := s.conns.shard(nbc)
	shard.mu.Lock() // Blocks the entry in the table.
	opened := make(chan struct{})
	go func() {
		s.onOpen(nbc)
		close(opened)
	}()
	time.Sleep(50 * time.Millisecond)
	// What SetLimits does while the table doesn't have the connection.
	s.limits.set(Limits{IdleTimeout: 3 * defaultLimits.IdleTimeout}, time.Now())
	shard.mu.Unlock()
	<-opened
	c := s.conns.get(nbc)
	c.mu.Lock()
	defer c.mu.Unlock()
	if idle := c.closeDeadline.Sub(c.idleSince); idle < 3*defaultLimits.IdleTimeout {
		t.Errorf("the connection is closed after %v, want at least %v", idle, 3*defaultLimits.IdleTimeout)
	}
}
