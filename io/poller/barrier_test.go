package poller

import (
	"testing"

	"github.com/lesismal/nbio/nbhttp"
)

// Guards against a poller without a probe: a start that does not wait for it, and a barrier
// that does not hold for its connections.
func TestEachPollerHasProbe(t *testing.T) {
	for n := 1; n <= 5; n++ {
		engine := nbhttp.NewEngine(nbhttp.Config{NPoller: n, ServerExecutor: func(f func()) { go f() }, ClientExecutor: func(f func()) { go f() }})
		if err := Start(engine); err != nil {
			t.Fatalf("%d pollers: %v", n, err)
		}
		b, err := NewBarrier(engine)
		if err != nil {
			t.Fatalf("%d pollers: %v", n, err)
		}
		for hash := range 2 * n {
			if err := b.Await(t.Context(), hash); err != nil {
				t.Errorf("%d pollers, hash %d: %v", n, hash, err)
			}
		}
		engine.Stop()
		b.Close()
	}
}
