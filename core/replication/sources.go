package replication

import (
	"context"
	"maps"
	"sync"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// answerTime is how long a pull from an instance may take before the next instance is asked too.
const answerTime = longPollTime + 100*time.Millisecond

// sources are the instances that this one pulls from, as far as their last pull has shown that
// they are slow or silent.
type sources struct {
	mu     sync.Mutex
	open   map[ident.InstanceID]bool // The last pull has not ended.
	silent map[ident.InstanceID]bool // The last pull failed.
	wg     sync.WaitGroup            // Pulls that have not ended.
}

// begin records that a pull from an instance begins, and reports whether the last one has failed.
// ok is false if that one has not ended.
func (p *sources) begin(id ident.InstanceID) (silent, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[id] {
		return false, false
	}
	if p.open == nil {
		p.open, p.silent = make(map[ident.InstanceID]bool), make(map[ident.InstanceID]bool)
	}
	p.open[id] = true
	p.wg.Add(1)
	return p.silent[id], true
}

// end records that a pull has ended.
func (p *sources) end(id ident.InstanceID, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, id)
	delete(p.silent, id)
	if err != nil {
		p.silent[id] = true
	}
	p.wg.Done()
}

// forgetGone drops what is known of instances that are no longer members.
func (p *sources) forgetGone(v *membership.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.silent, func(id ident.InstanceID, _ bool) bool {
		_, known := v.Member(id)
		return !known
	})
}

// pullAny pulls from instances in turn until one replies as healthy, and reports whether one did.
// It asks the next one as soon as one doesn't reply in time, and at once if one did not reply the
// last time. Pulls that have not ended then continue.
func (s *Replicator) pullAny(ctx context.Context, ids []ident.InstanceID) bool {
	healthy := make(chan struct{}, len(ids))
	for _, id := range ids {
		silent, ok := s.sources.begin(id)
		if !ok {
			continue
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			isHealthy, err := s.pull(ctx, id, untilChange)
			s.sources.end(id, err)
			if err == nil && isHealthy {
				healthy <- struct{}{}
			}
		}()
		if !silent && awaitHealthy(ctx, healthy, ended) {
			return true
		}
	}
	return len(healthy) > 0
}

// awaitHealthy waits until an instance has replied as healthy, a pull has ended, or answerTime has
// passed, and reports the first.
func awaitHealthy(ctx context.Context, healthy, ended <-chan struct{}) bool {
	timer := time.NewTimer(answerTime)
	defer timer.Stop()
	select {
	case <-healthy:
		return true
	case <-ended:
		return len(healthy) > 0
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
