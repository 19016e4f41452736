package reaper

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
)

const (
	// sweepWidth is the number of engines that are listed at once.
	sweepWidth = 8
	// endedRefusals is how often in a row a holder's address has to refuse
	// before its process counts as ended.
	endedRefusals = 2
)

// sweep lists all engines of this reaper and judges what they hold.
func (r *Reaper) sweep() {
	engines := r.Engines()
	r.forgetOthers(engines)
	slots := make(chan struct{}, sweepWidth)
	var wg sync.WaitGroup
	for _, e := range engines {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			r.sweepEngine(e)
		}()
	}
	wg.Wait()
}

// forgetOthers drops what is known of engines that this instance no longer
// looks after.
func (r *Reaper) forgetOthers(engines []text.Engine) {
	mine := make(map[ident.EndpointID]bool, len(engines))
	for _, e := range engines {
		mine[e.Name] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, w := range r.seen {
		if !mine[k.engine] && !w.aborting {
			delete(r.seen, k)
		}
	}
}

// sweepEngine lists one engine and judges what it holds.
func (r *Reaper) sweepEngine(e text.Engine) {
	ctx, cancel := context.WithTimeout(r.ctx, r.tuning.CallTimeout)
	held, err := r.List(ctx, e.Address)
	cancel()
	if err != nil {
		return
	}
	now := r.now()
	questions := r.judge(e, held, now)
	for holder, attempts := range questions {
		r.question(e, holder, attempts)
	}
}

// judge updates what is known of an engine's work, frees what is nobody's, and
// returns what holders have to be asked.
func (r *Reaper) judge(e text.Engine, held []engine.Held, now time.Time) map[ident.InstanceID][]string {
	questions := make(map[ident.InstanceID][]string)
	listed := make(map[string]bool, len(held))
	limit := r.LongestLimit()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range held {
		listed[h.Attempt] = true
		w := r.note(workKey{e.Name, h.Attempt}, h.Holder, now)
		if w.aborting {
			continue
		}
		switch {
		case r.holderEnded(w, now):
			r.free(e, h.Attempt, w, r.metrics.ended, "the holder's process has ended")
		case limit > 0 && now.Sub(w.firstSeen) > limit+r.tuning.AfterLimit:
			r.free(e, h.Attempt, w, r.metrics.expired, "older than every time limit")
		case !now.Before(w.askAt):
			w.askAt = now.Add(r.tuning.AskEvery)
			questions[h.Holder] = append(questions[h.Holder], h.Attempt)
		}
	}
	for k, w := range r.seen {
		if k.engine == e.Name && !listed[k.attempt] && !w.aborting {
			delete(r.seen, k)
		}
	}
	return questions
}

// note returns what is known of a piece of work. The caller holds mu.
func (r *Reaper) note(k workKey, holder ident.InstanceID, now time.Time) *work {
	w, ok := r.seen[k]
	if !ok || w.holder != holder {
		w = &work{holder: holder, firstSeen: now, askAt: now.Add(r.tuning.AskAfter)}
		r.seen[k] = w
	}
	return w
}

// holderEnded reports whether the holder has been known to have ended for long
// enough. The caller holds mu.
func (r *Reaper) holderEnded(w *work, now time.Time) bool {
	if w.endedAt.IsZero() && r.HolderState(w.holder) == Ended {
		w.endedAt = now
	}
	return !w.endedAt.IsZero() && now.Sub(w.endedAt) >= r.tuning.DeadFor
}

// free aborts a piece of work. The caller holds mu.
func (r *Reaper) free(e text.Engine, attempt string, w *work, reason metrics.Counter, words string) {
	w.aborting = true
	reason.Inc(1)
	r.abort(e, attempt, w, words)
}

// question asks a holder about attempts at an engine. Without an answer nothing
// is freed: the holder may be paused or cut off while its callers are served.
func (r *Reaper) question(e text.Engine, holder ident.InstanceID, attempts []string) {
	ctx, cancel := context.WithTimeout(r.ctx, r.tuning.CallTimeout)
	answer := r.Ask(ctx, holder, attempts)
	cancel()
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, attempt := range attempts {
		w, ok := r.seen[workKey{e.Name, attempt}]
		if !ok || w.aborting {
			continue
		}
		switch {
		case answer.Ended:
			w.refusals++
			w.askAt = now // Asked again in the next sweep: one refusal is no proof.
			if w.refusals >= endedRefusals && w.endedAt.IsZero() {
				w.endedAt = now
			}
		case len(answer.Held) == len(attempts) && !answer.Held[i]:
			r.free(e, attempt, w, r.metrics.notHeld, "its holder does not serve it")
		default:
			w.refusals = 0
		}
	}
}
