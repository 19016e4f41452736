package engine

import (
	"context"
	"sync"
	"time"
)

// progressInterval is the maximum time between two updates of the progress of a
// transfer.
const progressInterval = 2 * time.Millisecond

// link simulates a network link of limited rate, which concurrent transfers share
// evenly.
type link struct {
	mu         sync.Mutex
	rate       float64 // Bytes per second.
	active     int
	totalBytes int64 // Total size of all finished transfers.
}

// newLink returns a link with a rate in bytes per second.
func newLink(rate float64) *link { return &link{rate: rate} }

// transfer waits for the duration of a transfer of size bytes. The transfer makes no
// progress while stalled returns true.
func (l *link) transfer(ctx context.Context, size int64, stalled func() bool) error {
	l.addActive(1)
	defer l.addActive(-1)
	remaining := float64(size)
	updatedAt := time.Now()
	for remaining > 0 || stalled() {
		if err := sleep(ctx, l.nextDelay(remaining)); err != nil {
			return err
		}
		now := time.Now()
		if !stalled() {
			remaining -= l.transferRate() * now.Sub(updatedAt).Seconds()
		}
		updatedAt = now
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totalBytes += size
	return nil
}

// nextDelay returns the time until the next progress update, given the remaining
// bytes. It is between an eighth of progressInterval and progressInterval.
func (l *link) nextDelay(remaining float64) time.Duration {
	expected := time.Duration(remaining / l.transferRate() * float64(time.Second))
	return max(min(expected, progressInterval), progressInterval/8)
}

// addActive adds n to the number of active transfers.
func (l *link) addActive(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.active += n
}

// transferRate returns the current rate of each transfer in bytes per second.
func (l *link) transferRate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate / float64(max(l.active, 1))
}

// sleep waits for d. If ctx ends first, it returns the error of ctx.
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
