package caller

import (
	"testing"

	"golang.org/x/sys/unix"
)

// TestUnresponsiveHost guards against the end of a connection whose caller reads slowly or not
// at all, and against one that is kept for a host that is gone.
func TestUnresponsiveHost(t *testing.T) {
	silent, recent := uint32(unresponsiveTime.Milliseconds()), uint32(unresponsiveTime.Milliseconds()-1)
	for name, test := range map[string]struct {
		info unix.TCPInfo
		want bool
	}{
		"retransmissions without an acknowledgement": {unix.TCPInfo{Last_ack_recv: silent, Unacked: 1, Retransmits: 4}, true},
		"window probes without an acknowledgement":   {unix.TCPInfo{Last_ack_recv: silent, Probes: unansweredProbes}, true},
		"acknowledged a moment ago":                  {unix.TCPInfo{Last_ack_recv: recent, Unacked: 1, Retransmits: 4}, false},
		"closed window, next probe not due":          {unix.TCPInfo{Last_ack_recv: silent, Probes: 1}, false},
		"nothing sent":                               {unix.TCPInfo{Last_ack_recv: silent}, false},
	} {
		if got := isUnresponsive(&test.info); got != test.want {
			t.Errorf("%s: unresponsive %v", name, got)
		}
	}
}
