package share

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/catalog"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

var nopLogger = log.NewNopLogger()

// organisation returns an organisation with a limit.
func organisation(rate ident.TokensPerSecond, burst ident.Tokens) *catalog.Organisation {
	return &catalog.Organisation{Name: "loud", Rate: rate, Burst: burst, CountsTokens: true}
}

// TestBucketHoldsItsRate takes as much as it can for ten seconds.
func TestBucketHoldsItsRate(t *testing.T) {
	now := time.Now()
	b := &bucket{at: now}
	b.limit(1000, 500, 0.5, now)
	taken := ident.Tokens(0)
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if ok, _ := b.take(40, now); ok {
			taken += 40
		}
	}
	if want := ident.Tokens(5000); taken < want-100 || taken > want {
		t.Errorf("took %d in 10 s, want close to %d", taken, want)
	}
}

// TestDebtIsRepaid has others use more than there was.
func TestDebtIsRepaid(t *testing.T) {
	now := time.Now()
	b := &bucket{at: now}
	b.limit(1000, 1000, 1, now.Add(time.Second))
	now = now.Add(time.Second)
	b.used(2000, now)
	if ok, at := b.take(100, now.Add(time.Second)); ok || at.Sub(now) < time.Second {
		t.Errorf("granted %v at %v, want a refusal until the debt is repaid", ok, at.Sub(now))
	}
	if ok, _ := b.take(100, now.Add(1200*time.Millisecond)); !ok {
		t.Error("refused after the debt was repaid")
	}
}

// TestLargeRequestNeedsAFullBucket has a request that is larger than the bucket.
func TestLargeRequestNeedsAFullBucket(t *testing.T) {
	now := time.Now()
	b := &bucket{at: now}
	b.limit(1000, 1000, 0.1, now) // Empty.
	if ok, _ := b.take(700, now.Add(50*time.Millisecond)); ok {
		t.Error("granted with a bucket that is half full")
	}
	if ok, _ := b.take(700, now.Add(time.Second)); !ok {
		t.Error("never granted")
	}
	if ok, _ := b.take(1, now.Add(5*time.Second)); ok {
		t.Error("granted before the debt was repaid")
	}
}

// TestAdmitHoldsTheRate asks for more than the rate of an instance that hears
// nobody.
func TestAdmitHoldsTheRate(t *testing.T) {
	now := time.Now()
	view := membership.NewTable(membership.Member{ID: "a1", Domain: "a"}, nopLogger, time.Now).View
	s := New(view, func() int { return 4 }, nil, nopLogger, func() time.Time { return now })
	o := organisation(1000, 1000)
	taken := ident.Tokens(0)
	for range 800 {
		now = now.Add(10 * time.Millisecond)
		if s.Admit(o, 50).Granted {
			taken += 50
		}
	}
	if want := ident.Tokens(2250); taken > want || taken < want-100 {
		t.Errorf("admitted %d in 8 s, want close to %d: a quarter of rate and burst", taken, want)
	}
}
