package engine

import (
	"context"
	"sync"
	"time"
)

// linkTick is the time between two looks at the progress of a transfer.
const linkTick = 2 * time.Millisecond

// link is a network link of limited rate. Concurrent transfers share it evenly.
type link struct {
	mu     sync.Mutex
	rate   float64 // Bytes a second.
	active int
	moved  int64 // Bytes of all finished transfers.
}

// newLink returns a link with a rate in bytes a second.
func newLink(rate float64) *link { return &link{rate: rate} }

// transfer waits as long as the transfer of size bytes takes. It makes no
// progress while stalled returns true.
func (l *link) transfer(ctx context.Context, size int64, stalled func() bool) error {
	l.enter(1)
	defer l.enter(-1)
	left := float64(size)
	last := time.Now()
	for left > 0 || stalled() {
		if err := sleep(ctx, l.step(left)); err != nil {
			return err
		}
		now := time.Now()
		if !stalled() {
			left -= l.share() * now.Sub(last).Seconds()
		}
		last = now
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moved += size
	return nil
}

// step returns the time to the next look when left bytes are to go.
func (l *link) step(left float64) time.Duration {
	need := time.Duration(left / l.share() * float64(time.Second))
	return max(min(need, linkTick), linkTick/8)
}

// enter counts a transfer in or out.
func (l *link) enter(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active += n
}

// share returns the rate that each transfer has now, in bytes a second.
func (l *link) share() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate / float64(max(l.active, 1))
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
