package forward

import (
	"sync"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// durationWeight is the weight of the newest stream in the average of its service.
const durationWeight = 0.1

// streamDurations holds the average duration of streams, by service.
type streamDurations struct {
	mu       sync.Mutex
	perToken map[ident.ServiceID]time.Duration // From arrival to end, divided by the expected number of output tokens.
}

// record adds the duration of a completed stream.
func (d *streamDurations) record(s ident.ServiceID, expected ident.Tokens, duration time.Duration) {
	if expected <= 0 {
		return
	}
	perToken := duration / time.Duration(expected)
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.perToken == nil {
		d.perToken = make(map[ident.ServiceID]time.Duration)
	}
	if old := d.perToken[s]; old > 0 {
		perToken = old + time.Duration(durationWeight*float64(perToken-old))
	}
	d.perToken[s] = perToken
}

// estimate returns the expected duration of a stream; 0 while none has been completed.
func (d *streamDurations) estimate(s ident.ServiceID, expected ident.Tokens) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(expected) * d.perToken[s]
}

// SetStopTime sets the planned end of the process. From now on new streams that are
// expected to last longer are refused; other requests, and those in progress, are served.
func (r *Router) SetStopTime(at time.Time) {
	if !at.IsZero() {
		r.processEnd.Store(&at)
	}
}

// checkPlannedStop returns an error for a stream that is expected to be cut off by the
// planned end of the process.
func (j *job) checkPlannedStop() error {
	processEnd := j.router.processEnd.Load()
	if processEnd == nil || j.service.Model == nil {
		return nil
	}
	now := j.router.now()
	likely := j.router.streamDurations.estimate(j.service.Name, j.expectedOutput())
	if !now.Add(likely).After(*processEnd) {
		return nil
	}
	return fault.New(fault.ShuttingDown, "the instance stops in %v, before the expected end of the stream", processEnd.Sub(now).Round(time.Millisecond)).
		WithRetryAfter(now.Add(stoppingRetryAfter))
}

// expectedOutput returns the expected length of the answer: the caller's estimate if
// there is one, otherwise the maximum.
func (j *job) expectedOutput() ident.Tokens {
	if j.EstimatedOutput == 0 {
		return j.MaxOutputTokens
	}
	return min(j.MaxOutputTokens, j.EstimatedOutput)
}
