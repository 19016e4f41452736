package membership

import (
	"testing"
	"time"

	"github.com/go-kit/log"
)

// The links from this daemon to a domain are cut, and a partner has them: its
// digest names the domain with each heartbeat.
func TestSilentDomainIsAskedAboutNowAndThen(t *testing.T) {
	now := time.Now()
	table := NewTable(Member{ID: "a-1", Domain: "a"}, log.NewNopLogger(), func() time.Time { return now })
	table.Learned(Member{ID: "b-1", Domain: "b"})
	digest := &Digest{Domains: []string{"a", "b"}}
	const interval, length = 500 * time.Millisecond, 60 * time.Second
	if !table.Merge(digest) {
		t.Fatal("the first digest that names the domain is not followed up")
	}
	asked := 0
	for range length / interval {
		now = now.Add(interval)
		if table.Merge(digest) {
			asked++
		}
	}
	if want := int(length / askDomainEvery); asked != want {
		t.Errorf("%d questions in %v, want %d", asked, length, want)
	}
	table.Heard(Member{ID: "b-1", Domain: "b"})
	now = now.Add(askDomainEvery)
	if table.Merge(digest) {
		t.Error("a domain with live members is asked about")
	}
}
