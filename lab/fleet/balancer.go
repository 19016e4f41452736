package fleet

import (
	"context"
	"sync"
	"time"
)

// Interval and timeout of the balancer's readiness checks.
const (
	balancerInterval = 200 * time.Millisecond
	balancerTimeout  = time.Second
)

// SimulateBalancer simulates the platform's load balancer until ctx ends: it
// checks each instance's readiness periodically and uses the instances that are
// ready. It returns after all checks have ended.
func (f *Fleet) SimulateBalancer(ctx context.Context) {
	var work sync.WaitGroup
	for _, i := range f.Instances {
		work.Go(func() {
			for ctx.Err() == nil {
				f.SetInUse(i, f.checkReady(ctx, i))
				select {
				case <-time.After(balancerInterval):
				case <-ctx.Done():
				}
			}
		})
	}
	work.Wait()
}

// checkReady reports whether an instance is ready; a check that exceeds the
// timeout counts as not ready.
func (f *Fleet) checkReady(ctx context.Context, i *Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, balancerTimeout)
	defer cancel()
	return i.Ready(ctx)
}
