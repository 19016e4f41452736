package fleet

import (
	"context"
	"sync"
	"time"
)

// Times of the balancer.
const (
	balancerInterval = 200 * time.Millisecond
	balancerTimeout  = time.Second
)

// Balance plays the platform's balancer until ctx ends: it asks each instance
// from time to time whether it is ready, and uses those that are. It returns
// when all its work has ended.
func (f *Fleet) Balance(ctx context.Context) {
	var work sync.WaitGroup
	for _, i := range f.Instances {
		work.Go(func() {
			for ctx.Err() == nil {
				f.Use(i, f.looksReady(ctx, i))
				select {
				case <-time.After(balancerInterval):
				case <-ctx.Done():
				}
			}
		})
	}
	work.Wait()
}

// looksReady asks an instance whether it is ready.
func (f *Fleet) looksReady(ctx context.Context, i *Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, balancerTimeout)
	defer cancel()
	return i.Ready(ctx)
}
