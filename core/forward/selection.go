package forward

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/ident"
)

const (
	// remoteDomainPenalty is added for an engine in another failure domain. Ranks are in
	// units of the load of a full engine.
	remoteDomainPenalty = 0.3
	// coldPenalty is added for a cold engine.
	coldPenalty = 0.3
	// failurePenalty is added for an engine with a failure rate of 1, and in proportion
	// for lower rates.
	failurePenalty = 4.0
	// tieJitter limits a random addition to the rank, so that the instances do not all
	// choose the first of several equal engines.
	tieJitter = 0.05
	// fullPenalty is added for an engine without room for the request by what is known of all
	// instances. Engines in other failure domains come before it.
	fullPenalty = 1.5
)

// rankedEngine is an engine with its rank; the engine with the lowest rank is tried first.
type rankedEngine struct {
	engine *engines.Engine
	rank   float64
}

// rank returns the engines of the service that accept requests, were not tried yet and that
// accept returns a load for, the best first.
func (j *job) rank(accept func(*engines.Engine) (load float64, ok bool)) []*engines.Engine {
	now := j.router.now()
	preferred := j.preferences(false)
	var list []rankedEngine
	for _, e := range j.router.Engines(j.service.Name) {
		if !e.Accepts(now) || j.tried[e.ID] || !j.mayCall(e) {
			continue
		}
		load, ok := accept(e)
		if !ok {
			continue
		}
		list = append(list, rankedEngine{e, load + j.router.enginePenalty(e, now) + preferencePenalty(preferred, e) + tieJitter*rand.Float64()})
	}
	slices.SortFunc(list, func(a, b rankedEngine) int { return cmp.Compare(a.rank, b.rank) })
	sorted := make([]*engines.Engine, len(list))
	for i, r := range list {
		sorted[i] = r.engine
	}
	return sorted
}

// enginePenalty returns the part of an engine's rank that is due to its failure rate and
// its failure domain. A silent engine counts as failing.
func (r *Router) enginePenalty(e *engines.Engine, now time.Time) float64 {
	p := failurePenalty * e.FailureRate(now)
	if e.IsSilent(now) {
		p = failurePenalty
	}
	if e.Domain != r.domain {
		p += remoteDomainPenalty
	}
	if r.isCold(e) {
		p += coldPenalty
	}
	return p
}

// choosePlain returns the next engine to try of a plain service, or nil if none is left.
func (j *job) choosePlain() *engines.Engine {
	list := j.rank(func(e *engines.Engine) (float64, bool) {
		return float64(e.Load().Running) / float64(max(1, e.Slots)), true
	})
	if len(list) == 0 {
		return nil
	}
	return list[0]
}

// acceptsDecode reports whether an engine may get a new stream.
func (j *job) acceptsDecode(e *engines.Engine, now time.Time) bool {
	return e.Accepts(now) && e.CurrentStage() != engines.Prefill && !e.IsChangingStage(now)
}

// decodeCandidates returns the engines that may have enough free memory for a stream of
// the given size, the best first.
func (j *job) decodeCandidates(size ident.Tokens) []*engines.Engine {
	now := j.router.now()
	f := j.newForecast(now)
	return j.rank(func(e *engines.Engine) (float64, bool) {
		if !j.acceptsDecode(e, now) || !e.HasCapacity(size, now) {
			return 0, false
		}
		if f.excludes(e) {
			j.router.counters.slowEngines.Inc(1)
			return 0, false
		}
		return j.decodeLoad(e, size, f.known, now) + f.slowness(e) + failurePenalty*e.FetchFailureRate(now), true
	})
}

// decodeLoad returns the part of a decode engine's rank that is due to its load: the memory that this
// instance has reserved. Where the engines are uneven, and the fast ones are in demand, an engine without
// room by what all instances have reported comes last. The reports decide nothing else, as they are
// old, and all instances would choose the same engine.
func (j *job) decodeLoad(e *engines.Engine, size ident.Tokens, uneven bool, now time.Time) float64 {
	capacity := max(1, j.service.Model.KVCacheTokens)
	rank := float64(e.Load().Memory) / float64(capacity)
	if !uneven {
		return rank
	}
	total, _, _ := e.TotalLoad(now)
	if total.Memory+size > capacity || e.Slots > 0 && total.Running >= e.Slots {
		rank += fullPenalty
	}
	return rank
}
