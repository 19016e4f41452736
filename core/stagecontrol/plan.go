// Package stagecontrol divides the engines of model services between prefill and decode, and
// orders engines to change their stage.
package stagecontrol

import (
	"cmp"
	"math"
	"slices"

	"monsoonfork/core/engines"
	"monsoonfork/core/ident"
)

// prefillShare is the fraction of a service's engines that prefill.
const prefillShare = 0.25

// StageChange is a change of one engine's stage.
type StageChange struct {
	Engine *engines.Engine
	To     engines.Stage
}

// StagedEngine is an engine with its stage, or with the stage to which it was ordered.
type StagedEngine struct {
	Engine *engines.Engine
	Stage  engines.Stage
}

// NextChange returns the next stage change for the engines of a service, if one is needed.
func NextChange(list []StagedEngine) (StageChange, bool) {
	var prefill, decode []*engines.Engine
	for _, s := range list {
		switch {
		case !s.Engine.Usable():
		case s.Stage == engines.Prefill:
			prefill = append(prefill, s.Engine)
		case s.Stage == engines.Decode:
			decode = append(decode, s.Engine)
		}
	}
	total := len(prefill) + len(decode)
	if total < 2 {
		return StageChange{}, false
	}
	wantPrefill := max(1, int(math.Round(prefillShare*float64(total))))
	switch {
	case len(prefill) > wantPrefill:
		return StageChange{pickFromLargestDomain(prefill), engines.Decode}, true
	case len(prefill) < wantPrefill && len(decode) > 1:
		return StageChange{pickFromLargestDomain(decode), engines.Prefill}, true
	}
	return StageChange{}, false
}

// pickFromLargestDomain returns an engine of the domain with most engines in a list, so
// that the remaining ones are distributed over the domains. Within that domain it returns
// the engine with the fewest running requests, which can change its stage soonest.
func pickFromLargestDomain(list []*engines.Engine) *engines.Engine {
	count := make(map[ident.DomainID]int)
	for _, e := range list {
		count[e.Domain]++
	}
	return slices.MaxFunc(list, func(a, b *engines.Engine) int {
		return cmp.Or(
			cmp.Compare(count[a.Domain], count[b.Domain]),
			cmp.Compare(b.Load().Running, a.Load().Running),
			cmp.Compare(a.ID, b.ID),
		)
	})
}
