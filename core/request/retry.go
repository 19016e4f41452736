package request

import "sync"

const (
	// retryShare is the part of a retry that each request earns.
	retryShare = 0.2
	// retryBurst bounds the saved retries, so that the streams of a few failed
	// engines can move at once.
	retryBurst = 100
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
)

// retryBudget keeps retries to a fixed part of the requests, so that they
// cannot grow the load of a fleet that is failing.
type retryBudget struct {
	mu   sync.Mutex
	left float64
}

// earn is called once for each request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+retryShare, retryBurst)
}

// spend takes one retry and reports whether there was one.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
