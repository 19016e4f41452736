package forward

import (
	"math/rand/v2"
	"testing"
	"time"

	"monsoonfork/core/ident"
)

// BenchmarkDurationEstimate measures the estimate for one request beside 500 running ones.
func BenchmarkDurationEstimate(b *testing.B) {
	var d durations
	now := time.Now()
	output := func() ident.Tokens { return ident.Tokens(1 + rand.IntN(2000)) }
	for range durationSamples {
		d.record("model", output(), time.Duration(rand.IntN(8000))*time.Millisecond)
	}
	for range 500 {
		d.begin("model", output(), now.Add(-time.Duration(rand.IntN(8000))*time.Millisecond))
	}
	for b.Loop() {
		d.estimate("model", output(), now)
	}
}
