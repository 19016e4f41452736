package budget

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
	"monsoonfork/core/membership"
	"monsoonfork/io/peer"
)

// newSingleBudget returns a Budget that holds the domain's only slot, with a
// rate that no benchmark exhausts.
func newSingleBudget(orgs int) *Budget {
	table := membership.NewTable(membership.Member{ID: "a", Domain: "d0"}, log.NewNopLogger(), time.Now)
	limit := Limit{Rate: 1e12, Burst: 1e13}
	deps := dependencies{
		view:          table.View,
		limits:        func(ident.OrganisationID) (Limit, bool) { return limit, true },
		organisations: func() []ident.OrganisationID { return nil },
		layout:        func() (int, int) { return 1, 1 },
		peers:         func(context.Context, ident.InstanceID, string, proto.Message, proto.Message) error { return nil },
		store: slotStore{swap: func(context.Context, int, slotRecord, uint64) keyvalue.Outcome {
			return keyvalue.Written
		}},
	}
	b := newBudget("a", "d0", deps)
	now := b.clock.Now()
	now.MintTime -= Instant(time.Hour)
	b.slots.addHeldSlot(0, slotRecord{Holder: "a", Epoch: 1}, b.clock.Now(), now)
	b.slots.heldSlots[0].announced = true
	b.slots.heldSlots[0].lease.storeUntil = b.clock.Now().ExpiryTime.Add(time.Hour)
	for i := range orgs {
		g, err := b.Admit(context.Background(), orgName(i), 1000)
		if err != nil {
			panic(err)
		}
		g.Settle(500)
	}
	return b
}

// orgName returns the name of organisation i.
func orgName(i int) ident.OrganisationID {
	return ident.OrganisationID(fmt.Sprintf("organisation-%03d", i))
}

// cpuTime returns the CPU time used by this process.
func cpuTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAdmitHere admits and settles requests on the same instance.
func BenchmarkAdmitHere(b *testing.B) {
	for _, orgs := range []int{1, 130, 260, 520} {
		b.Run(fmt.Sprintf("Organisations=%d", orgs), func(b *testing.B) {
			budget := newSingleBudget(orgs)
			b.ReportAllocs()
			start := cpuTime()
			for i := 0; b.Loop(); i++ {
				g, err := budget.Admit(context.Background(), orgName(i%orgs), 1000)
				if err != nil {
					b.Fatal(err)
				}
				g.Settle(500)
			}
			b.ReportMetric(float64(cpuTime()-start)/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkAdmitOverLink admits and settles requests on another instance over
// a network link. The CPU time is that of both ends together.
func BenchmarkAdmitOverLink(b *testing.B) {
	ownerBudget := newSingleBudget(1)
	server := peer.New("a", "d0", log.NewNopLogger())
	ownerBudget.register(server.RoleLinks())
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	registry := metrics.NewRegistry()
	client := peer.New("b", "d0", log.NewNopLogger(), peer.WithMetrics(registry))
	client.AddressOf = func(ident.InstanceID) (ident.Address, bool) { return address, true }
	callingBudget := newSingleBudget(1)
	callingBudget.self = "b"
	callingBudget.peers = client.Call
	sent := metrics.GetOrRegisterCounter("Peer.BytesOut", registry)
	received := metrics.GetOrRegisterCounter("Peer.BytesIn", registry)
	b.ReportAllocs()
	start, bytes := cpuTime(), sent.Count()+received.Count()
	for b.Loop() {
		g, err := callingBudget.Admit(context.Background(), orgName(0), 1000)
		if err != nil {
			b.Fatal(err)
		}
		g.Settle(500)
		callingBudget.wg.Wait()
	}
	b.ReportMetric(float64(cpuTime()-start)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(sent.Count()+received.Count()-bytes)/float64(b.N), "bytes/op")
	_ = client.Close()
	_ = server.Close()
}

// BenchmarkMemory reports the heap memory per organisation for an account,
// the slot's state and one open reservation.
func BenchmarkMemory(b *testing.B) {
	for _, orgs := range []int{130, 260, 390, 520} {
		b.Run(fmt.Sprintf("Organisations=%d", orgs), func(b *testing.B) {
			for b.Loop() {
				runtime.GC()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				budget := newSingleBudget(orgs)
				for i := range orgs {
					if _, err := budget.Admit(context.Background(), orgName(i), 1000); err != nil {
						b.Fatal(err)
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(orgs), "heap-bytes/org")
				runtime.KeepAlive(budget)
			}
		})
	}
}
