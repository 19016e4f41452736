package caller

import (
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/fault"
)

// TestPanicInSweepEndsOnlyItsCheck guards against a panic in the check of one connection that
// ends the process, or after which no other caller's disconnect is noticed.
func TestPanicInSweepEndsOnlyItsCheck(t *testing.T) {
	var logged lockedBuffer
	registry := metrics.NewRegistry()
	started, ended := make(chan *ForwardedRequest, 2), make(chan struct{}, 2)
	handle := func(f *ForwardedRequest) {
		started <- f
		<-f.Context().Done()
		ended <- struct{}{}
	}
	s := NewForwardingServer(handle, log.NewLogfmtLogger(&logged), WithMetrics(registry))
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	for _, panics := range []bool{true, false} {
		caller := dialTest(t, string(address))
		if _, err := caller.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		f := <-started
		if panics {
			f.x.conn.mu.Lock()
			end := f.x.conn.cancel
			f.x.conn.cancel = func(cause *fault.Error) { end(cause); panic("odd cancel") }
			f.x.conn.mu.Unlock()
		}
		_ = caller.Close()
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatalf("panics %v: the disconnect was not noticed", panics)
		}
	}
	if n := metrics.GetOrRegisterCounter("Caller.ContainedPanics", registry).Count(); n != 1 || !strings.Contains(logged.String(), "step=sweep") {
		t.Errorf("%d panics counted, want 1; log: %q", n, logged.String())
	}
}
