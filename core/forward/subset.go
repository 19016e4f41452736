package forward

import (
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/ident"
	"monsoonfork/core/subset"
)

const (
	// preferenceStep is added to the rank of an engine for each position in the order of preferred
	// engines. The sum over all positions is less than remoteDomainPenalty, so that others of the
	// own failure domain come before those of another one, and a few streams at the first engine
	// outweigh a step: an instance uses more engines the more streams it has open.
	preferenceStep = 0.06
	// prefillPreferenceStep is the same for the estimate of a prefill engine. It is less than the
	// prefill of a common prompt, so that a queue at one engine leads to the next.
	prefillPreferenceStep = 15 * time.Millisecond
)

// preferences returns the positions of the engines that this instance prefers, of those that
// prefill or of the others. It is empty if the service has few engines.
func (j *job) preferences(prefill bool) subset.Positions {
	all := j.router.Engines(j.service.Name)
	if j.router.Subset == nil || len(all) < subset.MinEngines {
		return nil
	}
	var candidates []ident.EndpointID
	for _, e := range all {
		if e.Domain == j.router.domain && e.Usable() && (e.CurrentStage() == engines.Prefill) == prefill {
			candidates = append(candidates, e.ID)
		}
	}
	return j.router.Subset.Positions(subset.Class{Service: j.service.Name, Prefill: prefill}, candidates)
}

// preferencePenalty returns the part of an engine's rank that is due to its position.
func preferencePenalty(p subset.Positions, e *engines.Engine) float64 {
	return preferenceStep * float64(p.Of(e.ID))
}

// preferenceDelay returns the part of a prefill engine's estimate that is due to its position.
func preferenceDelay(p subset.Positions, e *engines.Engine) time.Duration {
	return time.Duration(p.Of(e.ID)) * prefillPreferenceStep
}
