package relay

import (
	"context"
	"crypto/rand"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"monsoonfork/core/config"
	"monsoonfork/core/ident"
	"monsoonfork/io/standin/control"
)

// BenchmarkInForce measures the time from the acceptance of an edit by the store
// until the new revision is in force at every daemon. The edit is written to the
// store by an applier outside the fleet, so daemons receive it only through
// their relays. The daemons of two domains run in this process.
func BenchmarkInForce(b *testing.B) {
	for _, daemons := range []int{8, 40} {
		for _, stalled := range []bool{false, true} {
			b.Run(fmt.Sprintf("daemons=%d/stalled=%v", daemons, stalled), func(b *testing.B) { benchInForce(b, daemons, stalled) })
		}
	}
}

// benchInForce measures edits that are applied one after another.
func benchInForce(b *testing.B, daemons int, stalled bool) {
	domains := make([]ident.DomainID, daemons)
	for i := range domains {
		domains[i] = []ident.DomainID{"a", "b"}[i%2]
	}
	f := newFleet(b, domains...)
	outside := externalApplier(b, f)
	raw := largeText(b)
	revision := ident.Revision(0)
	change := func() time.Duration {
		accepted, err := outside.Apply(context.Background(), []byte(fmt.Sprintf("%s# change %d\n", raw, revision)), revision, fmt.Sprintf("edit-%d", revision))
		if err != nil {
			b.Fatal(err)
		}
		revision = accepted.Revision
		began := time.Now()
		f.waitInForce(revision, f.nodes...)
		return time.Since(began)
	}
	change()
	if stalled {
		if err := f.store.Inject(control.Fault{Kind: control.StallWatches}); err != nil {
			b.Fatal(err)
		}
	}
	packed, err := config.Pack([]byte(raw))
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	began, calls := time.Now(), f.calls()
	var longest, total time.Duration
	for b.Loop() {
		elapsed := change()
		longest, total = max(longest, elapsed), total+elapsed
	}
	seconds := time.Since(began).Seconds()
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "mean-ms")
	b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
	b.ReportMetric(math.Round(float64(f.calls()-calls)/float64(b.N)*10)/10, "store-calls/change")
	b.ReportMetric(float64(f.calls()-calls)/seconds, "store-calls/s")
	b.ReportMetric(float64(len(raw)), "text-bytes")
	b.ReportMetric(float64(len(packed)), "packed-bytes")
}

// calls returns the number of store calls of all nodes.
func (f *fleet) calls() int64 {
	var sum int64
	for _, n := range f.nodes {
		for _, count := range n.service.store.CallCounts() {
			sum += count
		}
	}
	return sum
}

// largeText returns a text with 520 organisations and a key for each.
func largeText(b *testing.B) string {
	b.Helper()
	const organisations = 520
	var lines, keyLines strings.Builder
	for i := range organisations {
		name := fmt.Sprintf("installer-%d", i)
		secret := make([]byte, 48) // Salt and digest.
		_, _ = rand.Read(secret)
		fmt.Fprintf(&lines, "  - {Name: %s, RateTokensPerSecond: 5000, BurstTokens: 20000}\n", name)
		fmt.Fprintf(&keyLines, "  - {Name: %s, Organisation: %s, Salt: %x, Digest: %x}\n", name, name, secret[:16], secret[16:])
	}
	return "Domains: [a, b]\nOrganisations:\n" + lines.String() + "Keys:\n" + keyLines.String()
}
