package bench

import (
	"context"
	"fmt"
	"sync"
)

// RunAll runs rounds in order, in batches of parallel concurrent rounds, and returns
// their results in the same order. It calls onResult for each result when its batch
// has ended.
func RunAll(ctx context.Context, rounds []Round, parallel int, onResult func(*Result)) ([]*Result, error) {
	results := make([]*Result, 0, len(rounds))
	for len(rounds) > 0 {
		n := min(max(1, parallel), len(rounds))
		batch, err := runBatch(ctx, rounds[:n])
		if err != nil {
			return nil, err
		}
		for _, r := range batch {
			onResult(r)
		}
		results = append(results, batch...)
		rounds = rounds[n:]
	}
	return results, nil
}

// runBatch runs rounds concurrently. If several fail it returns the first error in
// the order of the rounds.
func runBatch(ctx context.Context, rounds []Round) ([]*Result, error) {
	results := make([]*Result, len(rounds))
	errs := make([]error, len(rounds))
	var wg sync.WaitGroup
	for i, r := range rounds {
		wg.Go(func() { results[i], errs[i] = r.Run(ctx) })
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("%s %s: %w", rounds[i].Workload.Name, rounds[i].Policy, err)
		}
	}
	return results, nil
}
