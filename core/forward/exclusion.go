package forward

import (
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
)

// excludedRetryAfter is the Retry-After of a request that was refused because all engines that
// could serve it are excluded. An evacuation lasts longer than the pause of an engine.
const excludedRetryAfter = time.Second

// checkExcluded returns an error if engines of the service could serve the request, and all of
// them are in evacuated failure domains or outside the allowed regions: waiting for one is
// useless.
func (j *job) checkExcluded() error {
	excluded := false
	for _, e := range j.router.Engines(j.service.Name) {
		switch {
		case e.IsLeaving(), j.service.Model != nil && e.CurrentStage() == engines.Prefill:
		case e.IsEvacuated(), !j.isAllowed(e):
			excluded = true
		default:
			return nil
		}
	}
	if !excluded {
		return nil
	}
	return fault.New(fault.NoEndpoint, "all engines of service %s that could serve the request are in evacuated failure domains or outside the allowed regions", j.service.Name).
		WithRetryAfter(spreadRetry(j.router.now().Add(excludedRetryAfter)))
}
