package budget

import (
	"math"
	"testing"
	"time"
)

// TestUnlimitedRateIsInvalid guards against tokens of another instance whose rate is so large
// that an organisation is admitted without a limit.
func TestUnlimitedRateIsInvalid(t *testing.T) {
	for _, rate := range []float64{math.Inf(1), math.MaxFloat64, math.NaN(), math.Inf(-1), -1, 0} {
		m := &AgedInterval{OldestNs: int64(time.Second), TokensPerSecond: rate}
		if a, err := decodeAges(m); err == nil {
			t.Errorf("a rate of %v was decoded as %+v", rate, a)
		}
	}
}
