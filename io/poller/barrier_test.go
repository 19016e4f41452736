package poller

import (
	"os"
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

// Guards against "no probe for each poller after 64 probes" where each probe takes the same
// number of descriptors: with three pollers, all from the second on could have the same one.
func TestEachPollerHasProbeAfterGap(t *testing.T) {
	for n := 1; n <= 5; n++ {
		engine := nbhttp.NewEngine(nbhttp.Config{NPoller: n, ServerExecutor: func(f func()) { go f() }, ClientExecutor: func(f func()) { go f() }})
		if err := Start(engine); err != nil {
			t.Fatalf("%d pollers: %v", n, err)
		}
		for gap := range n {
			if err := probeAfterGap(engine, gap); err != nil {
				t.Errorf("%d pollers, gap at %d: %v", n, gap, err)
			}
		}
		engine.Stop()
	}
}

// probeAfterGap opens probes while of all lower descriptors only two are free. They are for
// the first probe and begin with a number that depends on gap.
func probeAfterGap(engine *nbhttp.Engine, gap int) error {
	used := duplicates(os.Stdout, 2*maxProbes)
	for i, f := range used {
		if i == maxProbes+gap || i == maxProbes+gap+1 {
			_ = f.Close()
			continue
		}
		defer func() { _ = f.Close() }()
	}
	probes, err := newProbes(engine)
	closeProbes(probes)
	return err
}
