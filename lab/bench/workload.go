// Package bench measures placement policies under the workloads of users, with
// simulated engines as separate processes and open-loop arrivals from a seeded random
// source.
package bench

import (
	"fmt"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// Latency targets and timeout of a request.
const (
	firstTokenTarget    = 450 * time.Millisecond
	tokenIntervalTarget = 33 * time.Millisecond
	requestTimeout      = 60 * time.Second
)

// Parameters of the simulated engines.
const (
	decodeSlots         = 20
	prefillSlots        = 8
	memoryPieces        = 2000
	tokensPerPiece      = 32
	prefillRate         = 20_000         // Tokens per second.
	linkBandwidth       = 10_000_000_000 // Bytes per second, for transfers of KV cache.
	kvBytesPerToken     = 100_000
	singleTokenInterval = 18 * time.Millisecond // Time between two tokens with one request on the engine.
	batchSlowdown       = 0.5                   // Relative increase of the token interval with all slots in use.
)

// fullBatchTokenInterval is the time between two tokens on a decode engine with all
// slots in use.
const fullBatchTokenInterval = singleTokenInterval + singleTokenInterval*(decodeSlots-1)/decodeSlots/2

// modelName is the model that all engines serve.
const modelName ident.ModelID = "summary"

// TokenDistribution is a log-normal distribution of numbers of tokens, limited to
// Min and Max.
type TokenDistribution struct {
	Median    ident.Tokens
	LogStdDev float64 // Standard deviation of the logarithm.
	Min       ident.Tokens
	Max       ident.Tokens
}

// Demand is the rate and the traffic of one organisation.
type Demand struct {
	Organisation ident.OrganisationID
	Share        float64 // The organisation's rate as a fraction of the capacity.
	RateMultiple float64 // Requested tokens divided by the rate.
}

// Workload is the fleet and the traffic of one user of the router.
type Workload struct {
	Name               string
	Domains            []DomainSize
	PromptLength       TokenDistribution
	CompletionLength   TokenDistribution
	SharedPrefixRatio  float64      // Fraction of the prompts that begin with a shared prefix.
	SharedPrefixes     int          // Number of different shared prefixes.
	SharedPrefixLength ident.Tokens // Length of each shared prefix. A shorter prompt consists of the beginning of a shared prefix.
	Demands            []Demand
}

// DomainSize is the number of engines and instances of a failure domain.
type DomainSize struct {
	Name           ident.DomainID
	PrefillEngines int
	DecodeEngines  int
	Instances      int
}

// standardDemands returns the demands of five organisations: a few large ones, and
// one that sends five times its rate.
func standardDemands(names [5]ident.OrganisationID) []Demand {
	return []Demand{
		{names[0], 0.40, 1}, {names[1], 0.25, 1}, {names[2], 0.15, 1},
		{names[3], 0.10, 5}, {names[4], 0.10, 1},
	}
}

// Workloads returns all workloads.
func Workloads() []Workload {
	return []Workload{
		{
			Name: "tuinhulp",
			Domains: []DomainSize{
				{"nl-a", 2, 3, 2}, {"nl-b", 2, 3, 2}, {"nl-c", 2, 2, 2}, {"nl-d", 2, 2, 2},
			},
			PromptLength:      TokenDistribution{Median: 2000, LogStdDev: 0.6, Min: 300, Max: 6000},
			CompletionLength:  TokenDistribution{Median: 160, LogStdDev: 0.5, Min: 40, Max: 500},
			SharedPrefixRatio: 0.4, SharedPrefixes: 60, SharedPrefixLength: 1024,
			Demands: standardDemands([5]ident.OrganisationID{"planners", "families", "merged-a", "merged-b", "merged-c"}),
		},
		{
			Name: "tatrasoft",
			Domains: []DomainSize{
				{"sk-a", 1, 2, 2}, {"sk-b", 1, 2, 2}, {"sk-c", 1, 2, 2}, {"sk-d", 1, 2, 2},
			},
			PromptLength:      TokenDistribution{Median: 250, LogStdDev: 0.7, Min: 30, Max: 1500},
			CompletionLength:  TokenDistribution{Median: 80, LogStdDev: 0.5, Min: 20, Max: 250},
			SharedPrefixRatio: 0.3, SharedPrefixes: 40, SharedPrefixLength: 256,
			Demands: standardDemands([5]ident.OrganisationID{"poprad", "zilina", "kezmarok", "levoca", "svit"}),
		},
	}
}

// FindWorkload returns the workload with that name.
func FindWorkload(name string) (Workload, error) {
	for _, w := range Workloads() {
		if w.Name == name {
			return w, nil
		}
	}
	return Workload{}, fmt.Errorf("unknown workload %q", name)
}

// Capacity returns the requests per second that the decode slots can serve when
// all of them are always in use.
func (w Workload) Capacity() float64 {
	slots := 0
	for _, d := range w.Domains {
		slots += d.DecodeEngines * decodeSlots
	}
	return float64(slots) / (w.CompletionLength.mean() * fullBatchTokenInterval.Seconds())
}

// meanCost returns the mean number of tokens of a request, prompt and completion
// together.
func (w Workload) meanCost() float64 { return w.PromptLength.mean() + w.CompletionLength.mean() }

// Rate returns the rate limit of an organisation.
func (w Workload) Rate(d Demand) ident.TokensPerSecond {
	return ident.TokensPerSecond(d.Share * w.Capacity() * w.meanCost())
}

// burstSeconds is an organisation's burst divided by its rate.
const burstSeconds = 3

// Organisations returns the organisations with their rates and bursts, for the
// configuration.
func (w Workload) Organisations() []text.Organisation {
	var list []text.Organisation
	for _, d := range w.Demands {
		rate := w.Rate(d)
		list = append(list, text.Organisation{
			Name: d.Organisation, Rate: rate, Burst: ident.Tokens(float64(rate) * burstSeconds),
		})
	}
	return list
}
