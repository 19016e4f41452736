package caller

import (
	"testing"
	"time"
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
