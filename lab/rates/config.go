// Package rates checks rate limits under faults: it sends requests of several
// organisations, one far above its rate limit, to a fleet of real processes, and
// checks the admitted tokens over every window of time.
package rates

import (
	"time"

	"monsoonfork/core/budget/audit"
	"monsoonfork/core/ident"
	"monsoonfork/lab/fleet"
	"monsoonfork/lab/workload"
)

// Size of the fleet, and costs of requests in tokens.
const (
	instances  = 8
	costTokens = ident.Tokens(200)
	largeCost  = ident.Tokens(4000) // Cost of a call to largePath.
)

// The organisations: the first exceeds its rate limit, the others stay below theirs.
const (
	overLimitOrg   = ident.OrganisationID("loud")
	withinLimitOrg = ident.OrganisationID("quiet")
	largeCostOrg   = ident.OrganisationID("large") // The cost of one request is half its rate per second.
)

// largePath is the path of the route with the cost largeCost.
const largePath = "/addresses/large"

// organisations returns the organisations with their rate limits.
func organisations() []workload.Organisation {
	return []workload.Organisation{
		{Name: overLimitOrg, Weight: 1, Rate: 8000, Burst: 24_000},
		{Name: withinLimitOrg, Weight: 1, Rate: 8000, Burst: 24_000},
		{Name: largeCostOrg, Weight: 1, Rate: 8000, Burst: 24_000},
	}
}

// costOf returns the cost of a request of an organisation.
func costOf(org ident.OrganisationID) ident.Tokens {
	if org == largeCostOrg {
		return largeCost
	}
	return costTokens
}

// pathOf returns the path that an organisation calls.
func pathOf(org ident.OrganisationID) string {
	if org == largeCostOrg {
		return largePath
	}
	return "/addresses/x"
}

// rateFactors returns the load of each organisation as a multiple of its rate limit.
func rateFactors() map[ident.OrganisationID]float64 {
	return map[ident.OrganisationID]float64{overLimitOrg: 5, withinLimitOrg: 0.7, largeCostOrg: 0.7}
}

// Config configures a run.
type Config struct {
	Seed      uint64
	Length    time.Duration
	KillEvery time.Duration // Interval of kills, each followed by a replacement; 0 disables them.
	PauseFor  time.Duration // Length of each pause of a process; 0 disables pauses.
	CutFor    time.Duration // Length of the partition of a domain from the others and the store; 0 disables it.
	StoreDown bool          // Whether the store hangs from storeDownAfter to the end.
	Keep      bool          // Whether to keep the logs of the processes.
}

// spec returns the specification of the fleet.
func (c Config) spec() fleet.Spec {
	w := workload.Tuinhulp()
	w.Organisations = organisations()
	w.Prefill, w.Decode = 1, 1
	return fleet.Spec{
		Workload:      w,
		Instances:     instances,
		AllowFaults:   true,
		AdmissionLog:  true,
		BalancerDelay: time.Second,
		LogLevel:      "info",
		Seed:          c.Seed,
	}
}

// limits returns the rate limits of all organisations.
func limits() map[ident.OrganisationID]audit.Limit {
	byOrganisation := make(map[ident.OrganisationID]audit.Limit)
	for _, o := range organisations() {
		byOrganisation[o.Name] = audit.Limit{Rate: o.Rate, Burst: o.Burst}
	}
	return byOrganisation
}
