package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/ident"
)

// BenchmarkRequestAtFullSize measures one request, from Submit to Release, at a
// dispatcher of the size expected in a domain of 98 engines and 21 models: 2 prefill
// and 3 decode engines with 136 slots each, nearly all of them reserved.
func BenchmarkRequestAtFullSize(b *testing.B) {
	for _, waiting := range []int{0, 20, 100} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) { benchmarkRequest(b, waiting) })
	}
}

// benchmarkRequest measures a request while the given number of others wait, each
// of a different organisation.
func benchmarkRequest(b *testing.B, waiting int) {
	const slots, decodes = 136, 3
	clock := time.Unix(1000, 0)
	d := NewDispatcher("d1", testModel, log.NewNopLogger(), WithClock(func() time.Time { return clock }))
	engines := testEngines(2, decodes)
	for i := range engines {
		engines[i].Slots, engines[i].MemoryPieces = slots, 1_000_000
	}
	d.SetEngines(testModel, engines, nil)
	n := 0
	submit := func(o string) <-chan Decision {
		n++
		return d.Submit(Request{
			ID: ident.RequestID(fmt.Sprintf("r%d", n)), Attempt: 1, Organisation: ident.OrganisationID(o), Model: "m",
			PromptTokens: 1500, MaxTokens: 221, Deadline: clock.Add(time.Hour),
		}, "i1")
	}
	var open []LeaseID
	place := func(o string) {
		if g := granted(submit(o)); g != nil {
			d.PrefillDone(g.Lease)
			open = append(open, g.Lease)
		}
		clock = clock.Add(time.Millisecond)
		d.Tick()
	}
	free := 1
	if waiting > 0 {
		free = 0
	}
	for len(open) < slots*decodes-free {
		clock = clock.Add(200 * time.Millisecond)
		place(fmt.Sprintf("o%d", n%100))
	}
	for i := range waiting {
		submit(fmt.Sprintf("w%d", i))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		clock = clock.Add(20 * time.Millisecond)
		answer := submit("o1")
		d.Release(open[0], Outcome{Result: Cancelled, OutputTokens: 221})
		open = open[1:]
		for id := range d.leases {
			if d.leases[id].prefilling {
				open = append(open, id)
				d.PrefillDone(id)
			}
		}
		_ = granted(answer)
		if len(open) == 0 {
			b.Fatal("no lease is open")
		}
		d.Tick()
	}
}
