package forward

import (
	"math/rand/v2"
	"time"

	"monsoonfork/core/engines"
)

// retrySpread limits a random addition to the Retry-After of requests that are refused
// because engines have asked for no calls, so that not all callers return at the moment at
// which the engines accept calls again.
const retrySpread = 300 * time.Millisecond

// spreadRetry returns the time for a retry after the end of a pause.
func spreadRetry(end time.Time) time.Time { return end.Add(rand.N(retrySpread)) }

// decodePauseEnd returns the earliest time at which a decode engine accepts calls, if all
// of them have asked for none, and otherwise the zero time.
func (s *stream) decodePauseEnd(now time.Time) time.Time {
	var decode []*engines.Engine
	for _, e := range s.allowedEngines() {
		if e.CurrentStage() != engines.Prefill {
			decode = append(decode, e)
		}
	}
	return engines.EarliestPauseEnd(decode, now)
}

// refusedRetryAt returns the time for a retry of a request that no engine of a plain
// service has accepted.
func (j *job) refusedRetryAt() time.Time {
	now := j.router.now()
	if end := engines.EarliestPauseEnd(j.allowedEngines(), now); !end.IsZero() {
		return spreadRetry(end)
	}
	return now.Add(refusedRetryAfter)
}
