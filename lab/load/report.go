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

// Report sums up a run.
type Report struct {
	Workload      string
	Seed          uint64
	Results       []Result
	Targets       Targets
	Elapsed       time.Duration
	Organisations []ident.OrganisationID
}

// Count returns the number of requests of a kind with an outcome.
func (r *Report) Count(k workload.Kind, o Outcome) int {
	n := 0
	for i := range r.Results {
		if r.Results[i].Kind == k && r.Results[i].Outcome() == o {
			n++
		}
	}
	return n
}

// Total returns the number of requests with an outcome.
func (r *Report) Total(o Outcome) int {
	n := 0
	for _, k := range workload.Kinds() {
		n += r.Count(k, o)
	}
	return n
}

// Good returns the number of completions that were good.
func (r *Report) Good() int {
	n := 0
	for i := range r.Results {
		if r.Results[i].Kind == workload.Completion && r.Results[i].Good(r.Targets) {
			n++
		}
	}
	return n
}

// WorstServed returns the organisation with the lowest share of its
// completions answered whole, and that share.
func (r *Report) WorstServed() (ident.OrganisationID, float64) {
	asked := make(map[ident.OrganisationID]int)
	served := make(map[ident.OrganisationID]int)
	for i := range r.Results {
		result := &r.Results[i]
		if result.Kind != workload.Completion {
			continue
		}
		asked[result.Organisation] += result.MaxTokens
		if result.Outcome() == Whole {
			served[result.Organisation] += result.MaxTokens
		}
	}
	worst, lowest := ident.OrganisationID(""), 1.0
	for _, name := range r.Organisations {
		if asked[name] == 0 {
			continue
		}
		if share := float64(served[name]) / float64(asked[name]); share <= lowest {
			worst, lowest = name, share
		}
	}
	return worst, lowest
}

// Durations returns a figure of the whole answers of a kind.
func (r *Report) Durations(k workload.Kind, figure func(*Result) []time.Duration) []time.Duration {
	var all []time.Duration
	for i := range r.Results {
		if r.Results[i].Kind == k && r.Results[i].Outcome() == Whole {
			all = append(all, figure(&r.Results[i])...)
		}
	}
	return all
}

// FirstTokens returns the times to the first token of streamed answers.
func (r *Report) FirstTokens() []time.Duration {
	return r.Durations(workload.Completion, func(result *Result) []time.Duration {
		if !result.Stream {
			return nil
		}
		return []time.Duration{result.Last().FirstToken}
	})
}

// Gaps returns the times between tokens of streamed answers.
func (r *Report) Gaps() []time.Duration {
	return r.Durations(workload.Completion, func(result *Result) []time.Duration { return result.Last().Gaps })
}

// Took returns the times that whole answers of a kind took.
func (r *Report) Took(k workload.Kind) []time.Duration {
	return r.Durations(k, func(result *Result) []time.Duration { return []time.Duration{result.Last().Took} })
}

// Percentile returns the p-th percentile of values, 0 when there are none.
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
	printPercentiles(t, "first token", r.FirstTokens())
	printPercentiles(t, "between tokens", r.Gaps())
	for _, k := range workload.Kinds()[1:] {
		printPercentiles(t, k.String(), r.Took(k))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	worst, share := r.WorstServed()
	_, err := fmt.Fprintf(w, "good completions: %d of %d, %.2f a second; worst served: %s, %.3f of its tokens\n",
		r.Good(), len(r.Took(workload.Completion)), float64(r.Good())/r.Elapsed.Seconds(), worst, share)
	return err
}

// printPercentiles writes one line of percentiles.
func printPercentiles(w io.Writer, name string, values []time.Duration) {
	_, _ = fmt.Fprintf(w, "%s\t", name)
	for _, p := range []float64{50, 95, 99} {
		_, _ = fmt.Fprintf(w, "%.1f\t", float64(Percentile(values, p).Microseconds())/1000)
	}
	_, _ = fmt.Fprintln(w)
}
