package orders

import (
	"syscall"
	"testing"

	"github.com/go-kit/log"

	"monsoonfork/core/ident"
	"monsoonfork/io/engine"
	"monsoonfork/io/httpcall"
	standin "monsoonfork/io/standin/engine"
)

// BenchmarkReconcile measures one comparison of an engine that agrees with the
// configuration text. The simulated engine runs in this process, so that its
// processor time is included.
func BenchmarkReconcile(b *testing.B) {
	e := standin.New(standin.WithName("e"), standin.WithModels("m"))
	if err := e.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = e.Close() })
	calls, err := httpcall.New()
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(calls.Close)
	client := engine.New(calls, "a")
	now := newClock()
	declared := newTestText("e")
	declared.Engines[0].Address = ident.Address(e.Address())
	declared.Models[0].Version, declared.Models[0].Adapters = "", nil
	c := newTestController(newFakeStore(now), declared)
	c.log, c.State = log.NewNopLogger(), client.State
	c.leases.maintain(b.Context(), true)
	c.reconcileDue()
	c.wg.Wait()
	before := processorTime()
	b.ResetTimer()
	for b.Loop() {
		c.reconcile(c.Snapshot(), declared.Engines[0])
	}
	b.StopTimer()
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
	if c.Status().Engines[0].Phase != Agreed {
		b.Fatal(c.Status().Engines[0])
	}
}

// processorTime returns the processor time used by this process in nanoseconds.
func processorTime() int64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return u.Utime.Nano() + u.Stime.Nano()
}
