package forward

import (
	"testing"
	"time"

	"monsoonfork/core/ident"
)

// recordMany records n requests with the same expected output and duration.
func recordMany(d *durations, n int, output ident.Tokens, took time.Duration) {
	for range n {
		d.record("service", output, took)
	}
}

// TestNewestOfEqualDurationsCount guards against an estimate for a plain service, whose requests
// all have the same expected output, that is made of its oldest durations.
func TestNewestOfEqualDurationsCount(t *testing.T) {
	for _, recorded := range []int{durationSamples, durationSamples + similarSamples, 2*durationSamples - similarSamples} {
		var d durations
		recordMany(&d, recorded, 1, 20*time.Millisecond)
		recordMany(&d, similarSamples, 1, 3*time.Second)
		if got := d.estimate("service", 1, time.Now()); got != 3*time.Second {
			t.Errorf("%d requests before: the last %d took 3 s, %v is estimated", recorded, similarSamples, got)
		}
	}
}

// TestRunningRequestsCountBesideEqualOnes guards against requests that are accepted during a
// planned stop by the duration of earlier ones, although engines have become slower, since the
// running ones come after so many that ended with the same expected output.
func TestRunningRequestsCountBesideEqualOnes(t *testing.T) {
	for _, ended := range []int{similarSamples / 2, similarSamples, durationSamples} {
		var d durations
		now := time.Now()
		recordMany(&d, ended, 1, 20*time.Millisecond)
		for range similarSamples {
			d.begin("service", 1, now.Add(-3*time.Second))
		}
		if got := d.estimate("service", 1, now); got != 3*time.Second {
			t.Errorf("%d requests ended before, %d run since 3 s: %v is estimated", ended, similarSamples, got)
		}
	}
}

// TestSimilarityGoesBeforeAge guards against an estimate from new durations of requests with
// another expected output, while there are enough of similar ones.
func TestSimilarityGoesBeforeAge(t *testing.T) {
	var d durations
	recordMany(&d, similarSamples, 10, time.Second)
	recordMany(&d, similarSamples, 1000, 10*time.Second)
	if got := d.estimate("service", 10, time.Now()); got != time.Second {
		t.Errorf("%v, want 1s", got)
	}
}
