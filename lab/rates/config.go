// Package rates drives organisations through a fleet of real processes under
// faults, one of them far above its rate, and checks what was admitted over
// every window of time.
package rates

import (
	"time"

	"monsoonfork/core/budget/audit"
	"monsoonfork/core/ident"
	"monsoonfork/lab/fleet"
	"monsoonfork/lab/workload"
)

// Sizes of the fleet and of requests.
const (
	instances  = 8
	costTokens = ident.Tokens(200)
	largeCost  = ident.Tokens(4000) // Of a call on the large route.
)

// The organisations: one loud, the others inside their rates.
const (
	loud  = ident.OrganisationID("loud")
	quiet = ident.OrganisationID("quiet")
	large = ident.OrganisationID("large") // Its requests cost much against its rate.
)

// largePath is the path of the route whose calls cost much.
const largePath = "/addresses/large"

// organisations returns the organisations with their limits.
func organisations() []workload.Organisation {
	return []workload.Organisation{
		{Name: loud, Share: 1, Rate: 8000, Burst: 24_000},
		{Name: quiet, Share: 1, Rate: 8000, Burst: 24_000},
		{Name: large, Share: 1, Rate: 8000, Burst: 24_000},
	}
}

// costOf returns what a request of an organisation costs.
func costOf(org ident.OrganisationID) ident.Tokens {
	if org == large {
		return largeCost
	}
	return costTokens
}

// pathOf returns the path that an organisation calls.
func pathOf(org ident.OrganisationID) string {
	if org == large {
		return largePath
	}
	return "/addresses/x"
}

// factors returns what each organisation asks for, as a multiple of its rate.
func factors() map[ident.OrganisationID]float64 {
	return map[ident.OrganisationID]float64{loud: 5, quiet: 0.7, large: 0.7}
}

// Config says what to run.
type Config struct {
	Seed      uint64
	Length    time.Duration
	KillEvery time.Duration // Between two kills, each followed by a replacement; 0 means none.
	PauseFor  time.Duration // How long one process after the other is paused; 0 means none.
	CutFor    time.Duration // How long a domain is cut off from the others and the store; 0 means none.
	StoreDown bool          // Whether the store is silent throughout.
	Keep      bool          // Whether the logs of the processes are kept.
}

// spec returns the fleet of a run.
func (c Config) spec() fleet.Spec {
	w := workload.Tuinhulp()
	w.Organisations = organisations()
	w.Prefill, w.Decode = 1, 1
	return fleet.Spec{
		Workload:     w,
		Instances:    instances,
		AllowFaults:  true,
		AdmissionLog: true,
		BalancerWait: time.Second,
		LogLevel:     "info",
		Seed:         c.Seed,
	}
}

// limits returns the limits of all organisations.
func limits() map[ident.OrganisationID]audit.Limit {
	all := make(map[ident.OrganisationID]audit.Limit)
	for _, o := range organisations() {
		all[o.Name] = audit.Limit{Rate: o.Rate, Burst: o.Burst}
	}
	return all
}
