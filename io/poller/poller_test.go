package poller

import (
	"testing"
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// TestStopRightAfterStart stops engines right after their start. Without the wait in Start,
// a poller that clears its stop flag when its loop begins could lose the Stop, which then
// blocked for ever.
func TestStopRightAfterStart(t *testing.T) {
	done := make(chan error, 1)
	go func() {
		for i := 0; i < 100; i++ {
			engine := nbhttp.NewEngine(nbhttp.Config{NPoller: 3, ServerExecutor: func(f func()) { go f() }, ClientExecutor: func(f func()) { go f() }})
			if err := Start(engine); err != nil {
				done <- err
				return
			}
			engine.Stop()
		}
		done <- nil
	}()
	select {
	case err := <-done:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(30 * time.Second):
		t.Fatal("Start and Stop did not finish within 30 s; a Stop was lost")
	}
}
