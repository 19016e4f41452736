package admission

import "time"

const (
	// openShare is the part of the attempts of a request that stays open while requests of one
	// more urgent class wait. With several such classes it is divided by their number.
	openShare = 1.0 / 4
	// minRetryDelay is how long after its refusal a request of the most urgent class may return.
	// Memory is freed as streams end, which takes seconds.
	minRetryDelay = time.Second
	// retrySpread is the part of a delay by which delays differ at random.
	retrySpread = 0.5
	// maxRetryShare limits the delay to a fraction of the time that the caller has left, as
	// callers do not return after longer delays.
	maxRetryShare = 0.3
)

// OpenShare returns the part of its attempts that a request may make while requests of a number
// of more urgent classes wait.
func OpenShare(moreUrgent int) float64 {
	if moreUrgent <= 0 {
		return 1
	}
	return openShare / float64(moreUrgent)
}

// MeanWait returns the mean time until the next open attempt of a request that could make one at
// each interval.
func MeanWait(moreUrgent int, interval time.Duration) time.Duration {
	return time.Duration(float64(interval) / OpenShare(moreUrgent))
}

// RetryDelay returns after what time a refused request may return. It is later for less urgent
// classes. left is the time that the caller has left, and draw a random number in [0, 1).
func RetryDelay(moreUrgent int, left time.Duration, draw float64) time.Duration {
	delay := float64(minRetryDelay) * float64(1+moreUrgent)
	delay = max(float64(minRetryDelay), min(delay, maxRetryShare*float64(left)/(1+retrySpread)))
	return time.Duration(delay * (1 + retrySpread*draw))
}
