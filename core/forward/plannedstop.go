package forward

import (
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// SetStopTime sets the planned end of the process. From now on new requests that may last
// longer are refused; others, and those in progress, are served.
func (r *Router) SetStopTime(at time.Time) {
	if !at.IsZero() {
		r.processEnd.Store(&at)
	}
}

// SetBalancerEnd sets when the load balancer will have noticed that a planned stop has begun.
func (r *Router) SetBalancerEnd(at time.Time) { r.balancerEnd.Store(&at) }

// stoppingRetryAt returns when a caller that was refused because of a planned stop may retry:
// at once, as another instance serves it, but not before the load balancer sends the callers
// of this failure domain to another one, if none else serves them here.
func (r *Router) stoppingRetryAt() time.Time {
	retry := r.now().Add(stoppingRetryAfter)
	end := r.balancerEnd.Load()
	if end == nil || end.Before(retry) || r.AloneInDomain == nil || !r.AloneInDomain() {
		return retry
	}
	return *end
}

// checkPlannedStop returns an error for a request that may be cut off by the planned end of
// the process.
func (j *job) checkPlannedStop() error {
	processEnd := j.router.processEnd.Load()
	if processEnd == nil {
		return nil
	}
	now := j.router.now()
	if !j.latestEnd(now).After(*processEnd) {
		return nil
	}
	return fault.New(fault.ShuttingDown, "the instance stops in %v, before the expected end of the request", processEnd.Sub(now).Round(time.Millisecond)).
		WithRetryAfter(j.router.stoppingRetryAt())
}

// latestEnd returns the time before which a request that begins now is expected to end. While
// no request of its service has ended, it is the deadline of a stream, and the objective of a
// plain request.
func (j *job) latestEnd(now time.Time) time.Time {
	likely := j.router.durations.estimate(j.service.Name, j.expectedOutput(), now)
	if likely == 0 && j.service.Model == nil {
		likely = time.Duration(j.route.TargetLatencyMS) * time.Millisecond
	}
	end := now.Add(likely)
	if likely == 0 || end.After(j.deadline) {
		return j.deadline
	}
	return end
}

// expectedOutput returns the expected length of the answer: the caller's estimate if
// there is one, otherwise the maximum; 1 for plain services.
func (j *job) expectedOutput() ident.Tokens {
	if j.service.Model == nil {
		return 1
	}
	if j.EstimatedOutput == 0 {
		return j.MaxOutputTokens
	}
	return min(j.MaxOutputTokens, j.EstimatedOutput)
}
