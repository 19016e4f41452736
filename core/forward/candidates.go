package forward

import (
	"monsoonfork/core/engines"
	"monsoonfork/core/ident"
)

// isAllowed reports whether the route and the organisation of the request allow the region of an
// engine.
func (j *job) isAllowed(e *engines.Engine) bool {
	if !j.hasRegions() {
		return true
	}
	region := ident.RegionID("")
	if j.router.Region != nil {
		region = j.router.Region(e.Domain)
	}
	return j.route.AllowedRegions.Allows(region) && (j.org == nil || j.org.AllowedRegions.Allows(region))
}

// hasRegions reports whether the request is limited to some regions.
func (j *job) hasRegions() bool {
	return len(j.route.AllowedRegions) > 0 || j.org != nil && len(j.org.AllowedRegions) > 0
}

// allowedEngines returns the engines of the service in the regions that the request is limited to.
func (j *job) allowedEngines() []*engines.Engine {
	all := j.router.Engines(j.service.Name)
	if !j.hasRegions() {
		return all
	}
	var allowed []*engines.Engine
	for _, e := range all {
		if j.isAllowed(e) {
			allowed = append(allowed, e)
		}
	}
	return allowed
}

// mayCall reports whether the request may be sent to an engine that accepts requests: the region
// is allowed, and a cold engine is called only within its limit.
func (j *job) mayCall(e *engines.Engine) bool {
	if !j.isAllowed(e) {
		return false
	}
	limiter := j.router.ColdLimit
	if limiter == nil || !limiter.IsLimited(e) {
		return true
	}
	return limiter.Permits(e)
}

// isCold reports whether an engine is cold and its calls are limited. It is slower than others then.
func (r *Router) isCold(e *engines.Engine) bool {
	return r.ColdLimit != nil && r.ColdLimit.IsLimited(e)
}
