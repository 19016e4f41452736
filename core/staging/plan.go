// Package staging splits the engines of model services between prefill and
// decode.
package staging

import (
	"cmp"
	"math"
	"slices"

	"monsoonfork/core/engines"
	"monsoonfork/core/ident"
)

// prefillShare is the part of a service's engines that prefill.
const prefillShare = 0.25

// Move is a change of one engine's stage.
type Move struct {
	Engine *engines.Engine
	To     engines.Stage
}

// Staged is an engine with the stage that it has, or was ordered to.
type Staged struct {
	Engine *engines.Engine
	Stage  engines.Stage
}

// Plan returns the next change for the engines of a service, if there is one.
func Plan(list []Staged) (Move, bool) {
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
		return Move{}, false
	}
	want := max(1, int(math.Round(prefillShare*float64(total))))
	switch {
	case len(prefill) > want:
		return Move{fromFullest(prefill), engines.Decode}, true
	case len(prefill) < want && len(decode) > 1:
		return Move{fromFullest(decode), engines.Prefill}, true
	}
	return Move{}, false
}

// fromFullest returns an engine of the domain that has most of a list, so that
// what is left is spread, and there the one with the least work: it has changed soonest.
func fromFullest(list []*engines.Engine) *engines.Engine {
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
