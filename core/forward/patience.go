package forward

import (
	"sync"
	"time"
)

// patience is how long the callers of each route wait at most. A request that comes
// with less time has spent the rest: it was refused before and comes again.
type patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration // By route.
}

// spent returns what a request is likely to have spent of its caller's time before it
// came.
func (p *patience) spent(route string, wait time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil {
		p.longest = make(map[string]time.Duration)
	}
	if wait > p.longest[route] {
		p.longest[route] = wait
	}
	return p.longest[route] - wait
}
