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
	// farPenalty is what another failure domain counts, in parts of a full engine.
	farPenalty = 0.3
	// doubtPenalty is what an engine counts that fails every call.
	doubtPenalty = 4.0
	// tieSpread keeps instances from all choosing the first of equal engines.
	tieSpread = 0.05
)

// ranked is an engine with its rank; the lowest is tried first.
type ranked struct {
	engine *engines.Engine
	rank   float64
}

// rank orders the engines of a service that accept returns a load for.
func (j *job) rank(accept func(*engines.Engine) (load float64, ok bool)) []*engines.Engine {
	now := j.router.now()
	var list []ranked
	for _, e := range j.router.Engines(j.service.Name) {
		if !e.Usable() || j.tried[e.ID] {
			continue
		}
		load, ok := accept(e)
		if !ok {
			continue
		}
		list = append(list, ranked{e, load + j.router.penalty(e, now) + tieSpread*rand.Float64()})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	sorted := make([]*engines.Engine, len(list))
	for i, r := range list {
		sorted[i] = r.engine
	}
	return sorted
}

// penalty is what distance and doubt count against an engine.
func (r *Router) penalty(e *engines.Engine, now time.Time) float64 {
	p := doubtPenalty * e.Doubt(now)
	if e.Domain != r.domain {
		p += farPenalty
	}
	return p
}

// choosePlain returns the engine of a plain service to try next, or nil.
func (j *job) choosePlain() *engines.Engine {
	list := j.rank(func(e *engines.Engine) (float64, bool) {
		return float64(e.Load().Running) / float64(max(1, e.Slots)), true
	})
	if len(list) == 0 {
		return nil
	}
	return list[0]
}

// decodeCandidates returns the engines that may have room for a stream of a
// size.
func (j *job) decodeCandidates(size ident.Tokens) []*engines.Engine {
	now := j.router.now()
	memory := float64(max(1, j.service.Model.MemoryTokens))
	return j.rank(func(e *engines.Engine) (float64, bool) {
		if e.StageNow() == engines.Prefill || e.IsSpared(now) || !e.HasRoom(size, now) {
			return 0, false
		}
		return float64(e.Load().Memory)/memory + doubtPenalty*e.FetchDoubt(now), true
	})
}
