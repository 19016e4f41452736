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
	c.beginRead()
	_, _ = c.nbc.Read(make([]byte, 1024))
	if c.isLastResponse(true) {
		t.Error("the response is the last one although a request is being parsed")
	}
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
