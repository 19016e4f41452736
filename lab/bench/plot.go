package bench

import (
	"fmt"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Dimensions of the plot; barWidth is in points.
const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 12
)

// WritePlot writes a bar chart of the mean goodput over the seeds, with one group of
// bars per combination of workload, load and fault, and one bar per policy.
func WritePlot(path string, results []*Result) error {
	goodputs := make(map[string]map[string][]float64)
	var groups []string
	for _, r := range results {
		group := fmt.Sprintf("%s %.0f%%\n%s", r.Workload, r.Load*100, r.Faults)
		if _, ok := goodputs[group]; !ok {
			goodputs[group] = make(map[string][]float64)
			groups = append(groups, group)
		}
		goodputs[group][r.Policy] = append(goodputs[group][r.Policy], r.Goodput)
	}
	p := plot.New()
	p.Title.Text = "Requests per second within both latency targets"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, policy := range policyNames(results) {
		var values plotter.Values
		for _, s := range groups {
			values = append(values, mean(goodputs[s][policy]))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Color = plotutil.Color(i) //nolint:misspell // The library's spelling.
		bars.Offset = vg.Points(float64(i)*barWidth - 1.5*barWidth)
		p.Add(bars)
		p.Legend.Add(policy, bars)
	}
	p.NominalX(groups...)
	return p.Save(plotWidth, plotHeight, path)
}

// policyNames returns the sorted names of the policies in the results.
func policyNames(results []*Result) []string {
	seen := make(map[string]bool)
	var list []string
	for _, r := range results {
		if !seen[r.Policy] {
			seen[r.Policy] = true
			list = append(list, r.Policy)
		}
	}
	sort.Strings(list)
	return list
}

// mean returns the mean of values; 0 if there are none.
func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(1, len(values)))
}
