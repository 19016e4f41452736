package share

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/catalog"
	"monsoonfork/core/ident"
)

var nopLogger = log.NewNopLogger()

// organisation returns an organisation with a limit.
func organisation(rate ident.TokensPerSecond, burst ident.Tokens) *catalog.Organisation {
	return &catalog.Organisation{Name: "loud", Rate: rate, Burst: burst, CountsTokens: true}
}

// TestBucketHoldsItsRate takes as much as it can for ten seconds.
func TestBucketHoldsItsRate(t *testing.T) {
	now := time.Now()
	b := &bucket{}
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
	b := &bucket{}
	b.limit(1000, 1000, 1, now)
	b.used(2000, now)
	if ok, at := b.take(100, now.Add(2*time.Second)); ok || at.Sub(now) < 2*time.Second {
		t.Errorf("granted %v at %v, want a refusal until the debt is repaid", ok, at.Sub(now))
	}
	if ok, _ := b.take(100, now.Add(2200*time.Millisecond)); !ok {
		t.Error("refused after the debt was repaid")
	}
}

// TestLargeRequestNeedsAFullBucket has a request that is larger than the bucket.
func TestLargeRequestNeedsAFullBucket(t *testing.T) {
	now := time.Now()
	b := &bucket{}
	b.limit(1000, 1000, 0.1, now)
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
