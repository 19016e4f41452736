package share

import (
	"math"
	"testing"
	"time"
)

// silentFor returns a bucket with a tenth of its burst, at a time at which it has received nothing from
// the others for a while. They are asked for three times the rate.
func silentFor(silence time.Duration) (*bucket, time.Time) {
	now := time.Now()
	b := &bucket{refilledAt: now, level: 100, heardUntil: now}
	b.setLimit(1000, 1000, 1, now)
	b.othersDemand = 3000
	now = now.Add(silence)
	b.refill(now)
	return b, now
}

// checkLevel fails the test if the level of a bucket is another one.
func checkLevel(t *testing.T, b *bucket, want float64) {
	t.Helper()
	if math.Abs(b.level-want) > 1e-6 {
		t.Errorf("level %v, want %v", b.level, want)
	}
}

// TestSilentOthersUseWhatAccrues guards against an excess of the rate while the collector is lost:
// each instance admitted all that had accrued since its last reply.
func TestSilentOthersUseWhatAccrues(t *testing.T) {
	b, now := silentFor(600 * time.Millisecond)
	checkLevel(t, b, 100)
	b.heardUntil = now.Add(time.Second)
	b.refill(now.Add(200 * time.Millisecond))
	checkLevel(t, b, 300)
}

// TestReplyReplacesEstimate guards against tokens of the others that are deducted twice, by an
// estimate and by the reply that contains them.
func TestReplyReplacesEstimate(t *testing.T) {
	b, now := silentFor(300 * time.Millisecond)
	_ = b.chargeOthers(50, true, now)
	checkLevel(t, b, 350) // 100 + 300 - 50.
	b, now = silentFor(300 * time.Millisecond)
	_ = b.chargeOthers(50, false, now)
	checkLevel(t, b, 100) // The other 250 are estimated still.
	_ = b.chargeOthers(250, true, now)
	checkLevel(t, b, 100)
}

// TestNewCollectorKeepsEstimate guards against tokens that the others have admitted between two
// collectors and nobody deducts.
func TestNewCollectorKeepsEstimate(t *testing.T) {
	b, now := silentFor(300 * time.Millisecond)
	b.keepEstimate(now)
	_ = b.chargeOthers(0, true, now)
	checkLevel(t, b, 100)
}
