package request

import "sync"

const (
	// retryRatio is the number of retries that each request adds to the budget.
	retryRatio = 0.2
	// retryBurst is the largest balance of the budget. It allows all streams of
	// a few failed engines to be retried at the same time.
	retryBurst = 100
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
)

// retryBudget limits retries to a fixed ratio of the requests, so that retries do
// not multiply the load while many engines or endpoints fail.
type retryBudget struct {
	mu      sync.Mutex
	balance float64
}

// deposit adds the retries earned by one request. It is called once per request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+retryRatio, retryBurst)
}

// withdraw takes one retry from the balance and reports whether one was available.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
