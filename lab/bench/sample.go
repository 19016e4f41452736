package bench

import (
	"sort"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Sample is the outcome of one arrival.
type Sample struct {
	Arrival           Arrival
	Admitted          bool // Not refused for exceeding the organisation's rate.
	Err               error
	FirstTokenLatency time.Duration // From the scheduled arrival time.
	TokenIntervals    []time.Duration
	DeliveredTokens   ident.Tokens
	Attempts          int
	Instance          ident.InstanceID
	SendDelay         time.Duration // Delay of the load generator: actual minus scheduled send time.
}

// complete reports whether all requested tokens were delivered without an error.
func (s Sample) complete() bool { return s.Err == nil && s.DeliveredTokens == s.Arrival.MaxTokens }

// meanTokenInterval returns the mean time between two tokens; 0 for fewer than two
// tokens.
func (s Sample) meanTokenInterval() time.Duration {
	if len(s.TokenIntervals) == 0 {
		return 0
	}
	var sum time.Duration
	for _, g := range s.TokenIntervals {
		sum += g
	}
	return sum / time.Duration(len(s.TokenIntervals))
}

// withinTargets reports whether the response was complete and met both latency
// targets.
func (s Sample) withinTargets() bool {
	return s.complete() && s.FirstTokenLatency <= firstTokenTarget && s.meanTokenInterval() <= tokenIntervalTarget
}

// wrongfullyRefused reports whether the request was refused although it was within
// its organisation's rate.
func (s Sample) wrongfullyRefused() bool {
	return s.Arrival.WithinRate && s.Err != nil && fault.From(s.Err).Ran == fault.NotRun
}

// percentile returns the value below which the given fraction of the values lies; 0
// if there are no values.
func percentile(values []time.Duration, fraction float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), values...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(len(sorted)-1, int(fraction*float64(len(sorted))))]
}

// Result holds the metrics of one round. The arrays hold the 50th, 95th and 99th
// percentiles. Header lists the column names under which the metrics are written.
type Result struct {
	Workload string
	Policy   string
	Faults   string
	Load     float64
	Seed     uint64
	Seconds  float64

	Arrivals                 int
	Goodput                  float64          // Requests per second that were complete and met both latency targets.
	GoodputTokens            float64          // Prompt and requested completion tokens per second of the requests counted in Goodput.
	CompletePerSecond        float64          // Requests per second that were complete, whatever their latency.
	WastedPrefill            float64          // Wasted prefill tokens divided by all computed prefill tokens.
	LowestServedRatio        float64          // Minimum over organisations of tokens served within the targets / tokens requested within the rate.
	LowestServedOrganisation string           // Organisation that LowestServedRatio belongs to.
	WrongfulRefusalRatio     float64          // Fraction of the requests within the organisations' rates that were refused.
	Failed                   int              // Admitted requests that failed and may have run on an engine.
	FirstTokenLatencies      [3]time.Duration // Time from the scheduled arrival to the first token.
	TokenIntervals           [3]time.Duration // Time between two tokens.
	SendDelay99              time.Duration    // 99th percentile of the delay of the load generator.
}

// computeFromSamples sets the metrics that derive from the samples. Seconds is
// already set.
func (r *Result) computeFromSamples(samples []Sample) {
	var firstTokenLatencies, tokenIntervals, sendDelays []time.Duration
	requestedTokens := make(map[ident.OrganisationID]float64)
	servedTokens := make(map[ident.OrganisationID]float64)
	withinRate, wrongfullyRefused, withinTargets, complete := 0, 0, 0, 0
	for _, s := range samples {
		organisation := s.Arrival.Organisation
		sendDelays = append(sendDelays, s.SendDelay)
		if s.Arrival.WithinRate {
			withinRate++
			requestedTokens[organisation] += s.Arrival.cost()
		}
		if s.wrongfullyRefused() {
			wrongfullyRefused++
		}
		if s.Admitted && s.Err != nil && fault.From(s.Err).Ran != fault.NotRun {
			r.Failed++
		}
		if s.DeliveredTokens > 0 {
			firstTokenLatencies = append(firstTokenLatencies, s.FirstTokenLatency)
			tokenIntervals = append(tokenIntervals, s.TokenIntervals...)
		}
		if s.complete() {
			complete++
		}
		if s.withinTargets() {
			withinTargets++
			servedTokens[organisation] += s.Arrival.cost()
			r.GoodputTokens += s.Arrival.cost() / r.Seconds
		}
	}
	r.Arrivals = len(samples)
	r.Goodput = float64(withinTargets) / r.Seconds
	r.CompletePerSecond = float64(complete) / r.Seconds
	r.WrongfulRefusalRatio = float64(wrongfullyRefused) / float64(max(1, withinRate))
	r.findLowestServed(requestedTokens, servedTokens)
	r.SendDelay99 = percentile(sendDelays, 0.99)
	for i, fraction := range []float64{0.50, 0.95, 0.99} {
		r.FirstTokenLatencies[i], r.TokenIntervals[i] = percentile(firstTokenLatencies, fraction), percentile(tokenIntervals, fraction)
	}
}

// findLowestServed sets LowestServedRatio and LowestServedOrganisation. An organisation that sends above its
// rate may be served more than it requested within the rate; its ratio counts as 1.
func (r *Result) findLowestServed(requestedTokens, servedTokens map[ident.OrganisationID]float64) {
	r.LowestServedRatio = 1
	for organisation, requested := range requestedTokens {
		ratio := min(1, servedTokens[organisation]/requested)
		if ratio < r.LowestServedRatio || r.LowestServedOrganisation == "" {
			r.LowestServedRatio, r.LowestServedOrganisation = ratio, string(organisation)
		}
	}
}
