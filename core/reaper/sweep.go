package reaper

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/engineapi"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

const (
	// maxConcurrentListings is the number of engines that are listed at the same
	// time.
	maxConcurrentListings = 8
	// refusalsUntilEnded is the number of consecutive queries answered with Ended
	// after which the holder's process counts as ended. A single one is not
	// enough evidence.
	refusalsUntilEnded = 2
)

// sweep lists the attempts at all assigned engines and processes them.
func (r *Reaper) sweep() {
	engines := r.Engines()
	r.dropUnassigned(engines)
	semaphore := make(chan struct{}, maxConcurrentListings)
	var wg sync.WaitGroup
	for _, e := range engines {
		semaphore <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
			r.sweepEngine(e)
		}()
	}
	wg.Wait()
}

// dropUnassigned stops tracking attempts at engines that are no longer assigned to
// this instance.
func (r *Reaper) dropUnassigned(engines []text.Engine) {
	assigned := make(map[ident.EndpointID]bool, len(engines))
	for _, e := range engines {
		assigned[e.Name] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, w := range r.tracked {
		if !assigned[k.engine] && !w.aborting {
			delete(r.tracked, k)
		}
	}
}

// sweepEngine lists the attempts at one engine, aborts orphaned ones and queries the
// holders of others.
func (r *Reaper) sweepEngine(e text.Engine) {
	ctx, cancel := context.WithTimeout(r.ctx, r.tuning.CallTimeout)
	held, err := r.ListAttempts(ctx, e.Address)
	cancel()
	if err != nil {
		return
	}
	now := r.now()
	queries := r.evaluate(e, held, now)
	for holder, attempts := range queries {
		r.queryAttempts(e, holder, attempts)
	}
}

// evaluate updates the tracked attempts of an engine and aborts those whose holder
// has ended or that have expired. It returns, by holder, the attempts for which a
// query is due.
func (r *Reaper) evaluate(e text.Engine, held []engineapi.HeldRequest, now time.Time) map[ident.InstanceID][]string {
	queries := make(map[ident.InstanceID][]string)
	listed := make(map[string]bool, len(held))
	limit := r.LongestRouteTimeout()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range held {
		listed[h.Attempt] = true
		w := r.track(attemptKey{e.Name, h.Attempt}, h.Holder, now)
		if w.aborting {
			continue
		}
		switch {
		case r.holderEnded(w, now):
			r.startAbort(e, h.Attempt, w, r.metrics.ended, "the holder's process has ended")
		case limit > 0 && now.Sub(w.firstSeen) > limit+r.tuning.ExpiryMargin:
			r.startAbort(e, h.Attempt, w, r.metrics.expired, "older than the longest route timeout")
		case !now.Before(w.nextQueryAt):
			w.nextQueryAt = now.Add(r.tuning.QueryInterval)
			queries[h.Holder] = append(queries[h.Holder], h.Attempt)
		}
	}
	for k, w := range r.tracked {
		if k.engine == e.Name && !listed[k.attempt] && !w.aborting {
			delete(r.tracked, k)
		}
	}
	return queries
}

// track returns the state of an attempt, which is new if the attempt is not yet
// tracked or has another holder. The caller must hold mu.
func (r *Reaper) track(k attemptKey, holder ident.InstanceID, now time.Time) *trackedAttempt {
	w, ok := r.tracked[k]
	if !ok || w.holder != holder {
		w = &trackedAttempt{holder: holder, firstSeen: now, nextQueryAt: now.Add(r.tuning.QueryDelay)}
		r.tracked[k] = w
	}
	return w
}

// holderEnded reports whether the holder was found to have ended at least EndedGrace
// ago. The caller must hold mu.
func (r *Reaper) holderEnded(w *trackedAttempt, now time.Time) bool {
	if w.endedAt.IsZero() && r.HolderState(w.holder) == Ended {
		w.endedAt = now
	}
	return !w.endedAt.IsZero() && now.Sub(w.endedAt) >= r.tuning.EndedGrace
}

// startAbort counts and aborts an attempt. The caller must hold mu.
func (r *Reaper) startAbort(e text.Engine, attempt string, w *trackedAttempt, counter metrics.Counter, message string) {
	w.aborting = true
	counter.Inc(1)
	r.abort(e, attempt, w, message)
}

// queryAttempts asks a holder which attempts at an engine it serves, and aborts the
// others. Without a reply nothing is aborted: the holder may be paused or partitioned
// and still serve its callers.
func (r *Reaper) queryAttempts(e text.Engine, holder ident.InstanceID, attempts []string) {
	ctx, cancel := context.WithTimeout(r.ctx, r.tuning.CallTimeout)
	reply := r.QueryHolder(ctx, holder, attempts)
	cancel()
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, attempt := range attempts {
		w, ok := r.tracked[attemptKey{e.Name, attempt}]
		if !ok || w.aborting {
			continue
		}
		switch {
		case reply.Ended:
			w.refusals++
			w.nextQueryAt = now // Query again in the next sweep; a single refusal is not enough evidence.
			if w.refusals >= refusalsUntilEnded && w.endedAt.IsZero() {
				w.endedAt = now
			}
		case len(reply.Held) == len(attempts) && !reply.Held[i]:
			r.startAbort(e, attempt, w, r.metrics.notHeld, "the holder does not serve the attempt")
		default:
			w.refusals = 0
		}
	}
}
