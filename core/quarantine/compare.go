package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"monsoonfork/core/boottime"
	"monsoonfork/core/ident"
	"monsoonfork/core/sleep"
)

const (
	// compareInterval is the time between two comparisons with a randomly chosen member, which
	// repair what was lost on the way.
	compareInterval = time.Second
	// firstCompareInterval takes its place after the start. It doubles up to compareInterval while
	// no member answers.
	firstCompareInterval = 100 * time.Millisecond
)

// RunComparisons compares the evidence with that of other members until ctx ends.
func (q *Quarantine) RunComparisons(ctx context.Context) {
	interval := firstCompareInterval
	for {
		sleep.For(ctx, interval)
		if ctx.Err() != nil {
			return
		}
		interval = min(2*interval, compareInterval)
		if q.compareWithAny(ctx) {
			interval = compareInterval
		}
	}
}

// comparison says when this instance last compared its evidence with another one.
type comparison struct {
	mu         sync.Mutex
	freshUntil boottime.Instant // The evidence may be out of date from then on; zero if it was never compared.
	running    chan struct{}    // Closed when the comparison in progress has ended; nil if there is none.
}

const (
	// maxAge is the age of the last comparison from which on the evidence may be out of date:
	// the instance has just started or was suspended, or no member answers.
	maxAge = 3 * compareInterval
	// refreshTimeout bounds how long a request waits for a comparison then.
	refreshTimeout = 250 * time.Millisecond
)

// isFresh reports whether the evidence was compared lately.
func (q *Quarantine) isFresh() bool {
	q.comparison.mu.Lock()
	defer q.comparison.mu.Unlock()
	return q.bootTime().Before(q.comparison.freshUntil)
}

// refresh waits for a comparison with another instance if the evidence may be out of date and
// the prompt has a part that is not known to be harmless.
func (q *Quarantine) refresh(ctx context.Context, p Prompt) {
	if q.peers.View == nil || q.isFresh() {
		return
	}
	if e := q.existing(p.Scope); e != nil && e.allCleared(p.shared()) {
		return
	}
	q.comparison.mu.Lock()
	done := q.comparison.running
	if done == nil {
		done = make(chan struct{})
		q.comparison.running = done
		go func() {
			defer q.endRefresh(done)
			_ = q.boundary.Run("quarantine", q.refreshNow) // A panic is logged.
		}()
	}
	q.comparison.mu.Unlock()
	timer := time.NewTimer(refreshTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// refreshNow compares with another instance. If none answers, this instance is on its own for a
// while.
func (q *Quarantine) refreshNow() {
	ctx, cancel := context.WithTimeout(context.Background(), refreshTimeout)
	defer cancel()
	if !q.compareWithAny(ctx) {
		q.markCompared()
	}
}

// endRefresh ends the comparison for which requests wait.
func (q *Quarantine) endRefresh(done chan struct{}) {
	q.comparison.mu.Lock()
	defer q.comparison.mu.Unlock()
	q.comparison.running = nil
	close(done)
}

// markCompared records that the evidence is as new as it can be.
func (q *Quarantine) markCompared() {
	q.comparison.mu.Lock()
	defer q.comparison.mu.Unlock()
	q.comparison.freshUntil = q.bootTime().Add(maxAge)
}

// maxCompareMembers is how many members are tried in one comparison.
const maxCompareMembers = 3

// compareWithAny compares the evidence with that of a randomly chosen member, and reports whether
// one has answered. Members of all domains are chosen, so that evidence crosses their bounds.
func (q *Quarantine) compareWithAny(ctx context.Context) bool {
	if q.peers.View == nil {
		return true
	}
	v := q.peers.View()
	var others []ident.InstanceID
	for _, domain := range v.Domains() {
		for _, m := range v.Live(domain) {
			if m.ID != q.self {
				others = append(others, m.ID)
			}
		}
	}
	for range min(maxCompareMembers, len(others)) {
		i := rand.IntN(len(others))
		if q.exchange(ctx, others[i], batch{}, false, q.digest()) == nil {
			q.markCompared()
			return true
		}
		others = slices.Delete(others, i, i+1)
	}
	return false
}
