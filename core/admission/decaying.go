package admission

import (
	"math"
	"time"
)

// historyWindow is the time over which the outcomes of requests are counted.
const historyWindow = 10 * time.Second

// decayingCount is a count whose older part fades with historyWindow.
type decayingCount struct {
	value float64
	at    time.Time // When value was computed.
}

// add counts one more.
func (d *decayingCount) add(now time.Time) { d.value, d.at = d.current(now)+1, now }

// current returns the count now.
func (d *decayingCount) current(now time.Time) float64 {
	return d.value * math.Exp(-max(0, now.Sub(d.at).Seconds())/historyWindow.Seconds())
}
