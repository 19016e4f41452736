package ratelog

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Dimensions of the plot.
const (
	plotWidth  = 12 * vg.Inch
	plotHeight = 5 * vg.Inch
)

// WritePlot draws the level of the exact bucket of an organisation over the time since its first
// try, and the tries that the instances admitted and refused.
func WritePlot(path string, v Verdict) error {
	var level, admitted, refused plotter.XYs
	for _, l := range v.Levels {
		point := plotter.XY{X: l.At.Sub(v.Levels[0].At).Seconds(), Y: l.Tokens}
		level = append(level, point)
		if l.Refused {
			refused = append(refused, point)
		} else {
			admitted = append(admitted, point)
		}
	}
	p := plot.New()
	p.Title.Text = "Tokens of one exact bucket, organisation " + string(v.Organisation)
	p.X.Label.Text = "seconds since its first request"
	p.Legend.Top = true
	if err := plotutil.AddLines(p, "level", level); err != nil {
		return err
	}
	if err := plotutil.AddScatters(p, "admitted", admitted, "refused", refused); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
