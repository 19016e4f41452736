package share

import (
	"math"
	"testing"
	"time"
)

// TestSmallerShareKeepsItsPartOfTheLevel guards against an excess of the rate by instances that
// lose their collector: a level that was small for all of them together filled the bucket of each
// one; and against a debt of all that each one alone has to make up for.
func TestSmallerShareKeepsItsPartOfTheLevel(t *testing.T) {
	for _, level := range []float64{1000, 100, 0, -500} {
		now := time.Now()
		b := &bucket{refilledAt: now, level: level}
		b.setLimit(1000, 1000, 1, now)
		b.estimated = 200
		b.setLimit(1000, 1000, 0.1, now)
		if want := level / 10; math.Abs(b.level-want) > 1e-9 {
			t.Errorf("level %v is %v with a tenth of the rate, want %v", level, b.level, want)
		}
		if math.Abs(b.estimated-20) > 1e-9 {
			t.Errorf("200 estimated tokens are %v with a tenth of the rate, want 20", b.estimated)
		}
	}
}
