package membership

import (
	"testing"
	"time"

	"github.com/go-kit/log"
)

// TestUnreachableDomainIsQueriedAtAnInterval cuts the connections from this daemon to domain
// b, while a peer still reaches b and lists it in the digest of each heartbeat. The peer's
// view must then be fetched once in domainQueryInterval, not for each heartbeat, and no more
// once a member of b is live here.
func TestUnreachableDomainIsQueriedAtAnInterval(t *testing.T) {
	now := time.Now()
	table := NewTable(Member{ID: "a-1", Domain: "a"}, log.NewNopLogger(), func() time.Time { return now })
	table.AddUnconfirmed(Member{ID: "b-1", Domain: "b"})
	digest := &Digest{Domains: []string{"a", "b"}}
	const interval, duration = 500 * time.Millisecond, 60 * time.Second
	if !table.Merge(digest) {
		t.Fatal("Merge did not report that the view is needed after the first digest that lists domain b")
	}
	queries := 0
	for range duration / interval {
		now = now.Add(interval)
		if table.Merge(digest) {
			queries++
		}
	}
	if want := int(duration / domainQueryInterval); queries != want {
		t.Errorf("Merge reported %d times in %v that the view is needed, want %d", queries, duration, want)
	}
	table.RecordHeartbeat(Member{ID: "b-1", Domain: "b"})
	now = now.Add(domainQueryInterval)
	if table.Merge(digest) {
		t.Error("Merge reported that the view is needed although domain b has a live member")
	}
}
