package engines

import (
	"math"
	"time"
)

const (
	// doubtHalfLife is the time in which doubt falls to a half by itself.
	doubtHalfLife = 2 * time.Second
	// softWeight is how much one failed answer counts.
	softWeight = 0.2
	// hardWeight is how much an engine counts that gives no answer, or can't fetch a
	// prompt that was read for it.
	hardWeight = 0.6
)

// doubt is a mean of outcomes, 0 for good ones and 1 for others, that decays. Its
// owner guards it.
type doubt struct {
	value float64
	at    time.Time
}

// note moves the doubt towards an outcome.
func (d *doubt) note(outcome, weight float64, at time.Time) {
	old := d.now(at)
	d.value, d.at = old+weight*(outcome-old), at
}

// now returns the doubt at a time.
func (d *doubt) now(at time.Time) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-float64(at.Sub(d.at))/float64(doubtHalfLife))
}
