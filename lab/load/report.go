package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/lab/workload"
)

// Report holds the results of a run and computes statistics from them.
type Report struct {
	Workload      string
	Seed          uint64
	Results       []Result
	Targets       Targets
	Elapsed       time.Duration
	Organisations []ident.OrganisationID
}

// Count returns the number of requests with the given kind and outcome.
func (r *Report) Count(k workload.Kind, o Outcome) int {
	n := 0
	for i := range r.Results {
		if r.Results[i].Kind == k && r.Results[i].Outcome() == o {
			n++
		}
	}
	return n
}

// Total returns the number of requests of all kinds with the given outcome.
func (r *Report) Total(o Outcome) int {
	n := 0
	for _, k := range workload.Kinds() {
		n += r.Count(k, o)
	}
	return n
}

// WithinTargets returns the number of completions that were answered completely
// and correctly within the latency targets.
func (r *Report) WithinTargets() int {
	n := 0
	for i := range r.Results {
		if r.Results[i].Kind == workload.Completion && r.Results[i].WithinTargets(r.Targets) {
			n++
		}
	}
	return n
}

// LeastServed returns the organisation for which the smallest share of the
// requested tokens was delivered in complete answers, and that share.
func (r *Report) LeastServed() (ident.OrganisationID, float64) {
	requested := make(map[ident.OrganisationID]int)
	served := make(map[ident.OrganisationID]int)
	for i := range r.Results {
		result := &r.Results[i]
		if result.Kind != workload.Completion {
			continue
		}
		requested[result.Organisation] += result.MaxTokens
		if result.Outcome() == Complete {
			served[result.Organisation] += result.MaxTokens
		}
	}
	worst, lowest := ident.OrganisationID(""), 1.0
	for _, name := range r.Organisations {
		if requested[name] == 0 {
			continue
		}
		if share := float64(served[name]) / float64(requested[name]); share <= lowest {
			worst, lowest = name, share
		}
	}
	return worst, lowest
}

// collectDurations calls figure for each complete answer of a kind and returns
// all durations together.
func (r *Report) collectDurations(k workload.Kind, figure func(*Result) []time.Duration) []time.Duration {
	var all []time.Duration
	for i := range r.Results {
		if r.Results[i].Kind == k && r.Results[i].Outcome() == Complete {
			all = append(all, figure(&r.Results[i])...)
		}
	}
	return all
}

// FirstTokenTimes returns the times to the first token of the complete streamed
// answers.
func (r *Report) FirstTokenTimes() []time.Duration {
	return r.collectDurations(workload.Completion, func(result *Result) []time.Duration {
		if !result.Stream {
			return nil
		}
		return []time.Duration{result.Last().FirstToken}
	})
}

// InterTokenTimes returns the times between tokens of the complete streamed
// answers.
func (r *Report) InterTokenTimes() []time.Duration {
	return r.collectDurations(workload.Completion, func(result *Result) []time.Duration { return result.Last().InterTokenTimes })
}

// Latencies returns the durations of the last attempts of the completely answered
// requests of a kind.
func (r *Report) Latencies(k workload.Kind) []time.Duration {
	return r.collectDurations(k, func(result *Result) []time.Duration { return []time.Duration{result.Last().Latency} })
}

// Percentile returns the p-th percentile of values, or 0 if there are none.
func Percentile(values []time.Duration, p float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(float64(len(sorted))*p/100))]
}

// Print writes the report as tables.
func (r *Report) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "%s seed %d\t", r.Workload, r.Seed)
	for _, o := range Outcomes() {
		_, _ = fmt.Fprintf(t, "%s\t", o)
	}
	_, _ = fmt.Fprintln(t)
	for _, k := range workload.Kinds() {
		_, _ = fmt.Fprintf(t, "%s\t", k)
		for _, o := range Outcomes() {
			_, _ = fmt.Fprintf(t, "%d\t", r.Count(k, o))
		}
		_, _ = fmt.Fprintln(t)
	}
	_, _ = fmt.Fprintln(t)
	_, _ = fmt.Fprintln(t, "milliseconds\t50\t95\t99\t")
	printPercentiles(t, "first token", r.FirstTokenTimes())
	printPercentiles(t, "between tokens", r.InterTokenTimes())
	for _, k := range workload.Kinds()[1:] {
		printPercentiles(t, k.String(), r.Latencies(k))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	worst, share := r.LeastServed()
	_, err := fmt.Fprintf(w, "completions within targets: %d of %d, %.2f per second; least served: %s, %.3f of its tokens\n",
		r.WithinTargets(), len(r.Latencies(workload.Completion)), float64(r.WithinTargets())/r.Elapsed.Seconds(), worst, share)
	return err
}

// printPercentiles writes one row with the 50th, 95th and 99th percentile in
// milliseconds.
func printPercentiles(w io.Writer, name string, values []time.Duration) {
	_, _ = fmt.Fprintf(w, "%s\t", name)
	for _, p := range []float64{50, 95, 99} {
		_, _ = fmt.Fprintf(w, "%.1f\t", float64(Percentile(values, p).Microseconds())/1000)
	}
	_, _ = fmt.Fprintln(w)
}
