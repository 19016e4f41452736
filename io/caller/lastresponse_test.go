package caller

import (
	"testing"
	"time"
)

// TestLastResponseWaitsForInputBeingRead has the poller hold the bytes of the next request
// when the head of an answer is written during a drain. The answer must not be the last one,
// since the request would be discarded.
func TestLastResponseWaitsForInputBeingRead(t *testing.T) {
	c, _ := unreadConn(t)
	c.activeRequests = 1
	c.readInput(func() { c.accept(false) })
	if c.isLastResponse(true) {
		t.Error("the response is the last one although a request is being parsed")
	}
}

// TestRequestBeingReadIsNotInputBehindItself writes the head of an answer during a drain before
// the poller has returned from reading its request. The caller must be notified of the close:
// otherwise it sends a request on the connection just when that is closed.
func TestRequestBeingReadIsNotInputBehindItself(t *testing.T) {
	c, _ := unreadConn(t)
	c.readInput(func() {})
	c.accept(false)
	if !c.isLastResponse(true) {
		t.Error("the response is not the last one although no other request has arrived")
	}
}

// readInput reads what has arrived as the poller does, and ends reading a moment later, after
// parse.
func (c *conn) readInput(parse func()) {
	const parseTime = 20 * time.Millisecond
	c.beginRead()
	_, _ = c.nbc.Read(make([]byte, 1024)) // The tests see from the connection whether bytes are left.
	time.AfterFunc(parseTime, func() {
		parse()
		c.endRead()
	})
}

// TestEqualLimitsLeaveNoHistory applies the same limits again and again, as a storm of
// configurations does. What is kept of earlier limits must not grow.
func TestEqualLimitsLeaveNoHistory(t *testing.T) {
	h := newLimitHistory(defaultLimits)
	now := time.Now()
	for range 1000 {
		h.set(defaultLimits, now)
	}
	if len(h.earlier) > 0 {
		t.Errorf("%d earlier limits are kept although none differs", len(h.earlier))
	}
}

// TestResponseDoesNotWaitForNextRequest guards against a response during a drain that waits
// until all of the next request is read, which a caller may send without a pause or an end.
func TestResponseDoesNotWaitForNextRequest(t *testing.T) {
	c, _ := unreadConn(t)
	c.beginRead()
	t.Cleanup(c.endRead)
	c.accept(false)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		c.isLastResponse(true)
	}()
	time.Sleep(20 * time.Millisecond)
	c.startRequest()
	select {
	case <-answered:
	case <-time.After(time.Second):
		t.Error("the response waits while the next request is read")
	}
}
