package bench

import (
	"fmt"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Sizes of the plot.
const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 5 * vg.Inch
	barWidth   = 12
)

// WritePlot draws the mean goodput of each policy in each setting as bars.
func WritePlot(path string, results []*Result) error {
	sums := make(map[string]map[string][]float64)
	var settings []string
	for _, r := range results {
		setting := fmt.Sprintf("%s %.0f%%\n%s", r.Workload, r.Load*100, r.Faults)
		if _, ok := sums[setting]; !ok {
			sums[setting] = make(map[string][]float64)
			settings = append(settings, setting)
		}
		sums[setting][r.Policy] = append(sums[setting][r.Policy], r.Goodput)
	}
	p := plot.New()
	p.Title.Text = "Requests a second within both targets"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, policy := range policiesOf(results) {
		var values plotter.Values
		for _, s := range settings {
			values = append(values, mean(sums[s][policy]))
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
	p.NominalX(settings...)
	return p.Save(plotWidth, plotHeight, path)
}

// policiesOf returns the policies of the results, by name.
func policiesOf(results []*Result) []string {
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

// mean returns the mean of some values; 0 for none.
func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(1, len(values)))
}
