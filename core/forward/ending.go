package forward

import (
	"sync"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// paceWeight is how much the newest stream counts in the pace of its service.
const paceWeight = 0.1

// pace is how long streams take, by service.
type pace struct {
	mu       sync.Mutex
	perToken map[ident.ServiceID]time.Duration // From arrival to end, for each token that was expected.
}

// saw notes a stream that has ended well.
func (p *pace) saw(s ident.ServiceID, expected ident.Tokens, took time.Duration) {
	if expected <= 0 {
		return
	}
	each := took / time.Duration(expected)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.perToken == nil {
		p.perToken = make(map[ident.ServiceID]time.Duration)
	}
	if old := p.perToken[s]; old > 0 {
		each = old + time.Duration(paceWeight*float64(each-old))
	}
	p.perToken[s] = each
}

// of returns how long a stream is likely to take; 0 while none was seen.
func (p *pace) of(s ident.ServiceID, expected ident.Tokens) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(expected) * p.perToken[s]
}

// EndBy notes that the process ends at a time: streams that are likely to last longer
// are refused from now on, while others, and those under way, go on.
func (r *Router) EndBy(at time.Time) {
	if !at.IsZero() {
		r.endBy.Store(&at)
	}
}

// mayEnd refuses a stream that would be cut when the process ends.
func (j *job) mayEnd() error {
	by := j.router.endBy.Load()
	if by == nil || j.service.Model == nil {
		return nil
	}
	now := j.router.now()
	likely := j.router.pace.of(j.service.Name, j.likelyOutput())
	if !now.Add(likely).After(*by) {
		return nil
	}
	return fault.New(fault.ShuttingDown, "the instance ends in %v, before the stream is likely to", by.Sub(now).Round(time.Millisecond)).
		WithRetryAfter(now.Add(stoppingRetry))
}

// likelyOutput is the length of the answer that its caller expects.
func (j *job) likelyOutput() ident.Tokens {
	if j.Estimate == 0 {
		return j.MaxOutput
	}
	return min(j.MaxOutput, j.Estimate)
}
