// Package bench measures placement policies under the users' workloads, with
// stand-in engines as processes and open-loop arrivals from a seeded source.
package bench

import (
	"fmt"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// Targets of a request.
const (
	firstTokenTarget = 450 * time.Millisecond
	tokenTarget      = 33 * time.Millisecond
	requestTimeout   = 60 * time.Second
)

// Sizes of the stand-in engines.
const (
	decodeSlots    = 20
	prefillSlots   = 8
	memoryPieces   = 2000
	tokensPerPiece = 32
	prefillRate    = 20_000 // Tokens a second.
	linkBytes      = 10_000_000_000
	bytesPerToken  = 100_000
	interToken     = 18 * time.Millisecond // With one request.
	batchSlowdown  = 0.5
)

// fullTokenTime is the time between two tokens on a full engine.
const fullTokenTime = interToken + interToken*(decodeSlots-1)/decodeSlots/2

// modelName is the model that all engines of a workload serve.
const modelName ident.ModelID = "summary"

// Sizes describes a distribution of token numbers: log-normal, cut at both
// ends.
type Sizes struct {
	Median ident.Tokens
	Spread float64 // Standard deviation of the logarithm.
	Least  ident.Tokens
	Most   ident.Tokens
}

// Demand is the traffic of one organisation.
type Demand struct {
	Organisation ident.OrganisationID
	Share        float64 // Of the capacity; the organisation's rate.
	Times        float64 // What it sends, over its rate.
}

// Workload is one user's fleet and traffic.
type Workload struct {
	Name      string
	Domains   []DomainSize
	Prompt    Sizes
	Answer    Sizes
	Repeated  float64 // Share of the prompts that begin as an earlier one.
	Documents int     // Number of such beginnings.
	Beginning ident.Tokens
	Demands   []Demand
}

// DomainSize is the number of engines and instances of a failure domain.
type DomainSize struct {
	Name      ident.DomainID
	Prefills  int
	Decodes   int
	Instances int
}

// demands are the shares of the five organisations: a few large ones, and one
// that sends five times its rate.
func demands(names [5]ident.OrganisationID) []Demand {
	return []Demand{
		{names[0], 0.40, 1}, {names[1], 0.25, 1}, {names[2], 0.15, 1},
		{names[3], 0.10, 5}, {names[4], 0.10, 1},
	}
}

// Workloads returns the workloads by name.
func Workloads() []Workload {
	return []Workload{
		{
			Name: "tuinhulp",
			Domains: []DomainSize{
				{"nl-a", 2, 3, 2}, {"nl-b", 2, 3, 2}, {"nl-c", 2, 2, 2}, {"nl-d", 2, 2, 2},
			},
			Prompt:   Sizes{Median: 2000, Spread: 0.6, Least: 300, Most: 6000},
			Answer:   Sizes{Median: 160, Spread: 0.5, Least: 40, Most: 500},
			Repeated: 0.4, Documents: 60, Beginning: 1024,
			Demands: demands([5]ident.OrganisationID{"planners", "families", "merged-a", "merged-b", "merged-c"}),
		},
		{
			Name: "tatrasoft",
			Domains: []DomainSize{
				{"sk-a", 1, 2, 2}, {"sk-b", 1, 2, 2}, {"sk-c", 1, 2, 2}, {"sk-d", 1, 2, 2},
			},
			Prompt:   Sizes{Median: 250, Spread: 0.7, Least: 30, Most: 1500},
			Answer:   Sizes{Median: 80, Spread: 0.5, Least: 20, Most: 250},
			Repeated: 0.3, Documents: 40, Beginning: 256,
			Demands: demands([5]ident.OrganisationID{"poprad", "zilina", "kezmarok", "levoca", "svit"}),
		},
	}
}

// WorkloadNamed returns a workload.
func WorkloadNamed(name string) (Workload, error) {
	for _, w := range Workloads() {
		if w.Name == name {
			return w, nil
		}
	}
	return Workload{}, fmt.Errorf("no workload %q", name)
}

// Capacity returns the requests a second that the decode slots can serve when
// all are busy all the time.
func (w Workload) Capacity() float64 {
	slots := 0
	for _, d := range w.Domains {
		slots += d.Decodes * decodeSlots
	}
	return float64(slots) / (w.Answer.mean() * fullTokenTime.Seconds())
}

// meanCost returns the mean tokens of a request, prompt and answer together.
func (w Workload) meanCost() float64 { return w.Prompt.mean() + w.Answer.mean() }

// Rate returns the rate of an organisation in tokens a second.
func (w Workload) Rate(d Demand) ident.TokensPerSecond {
	return ident.TokensPerSecond(d.Share * w.Capacity() * w.meanCost())
}

// burstSeconds is the burst of an organisation over its rate.
const burstSeconds = 3

// Organisations returns the organisations with rate and burst.
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
