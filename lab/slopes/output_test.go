package slopes

import (
	"math"
	"testing"
)

func TestFitLinesFindsSlopeAndIntercept(t *testing.T) {
	var points []Point
	for _, x := range []int{2, 4, 8, 16} {
		points = append(points, Point{Axis: Instances, Value: x, CPUPercent: 0.5 + 0.25*float64(x)})
	}
	lines := FitLines(points)
	if len(lines) != len(costs) {
		t.Fatalf("got %d lines, want %d", len(lines), len(costs))
	}
	l := lines[0]
	if math.Abs(l.Slope-0.25) > 1e-9 || math.Abs(l.Intercept-0.5) > 1e-9 || l.Points != 4 {
		t.Errorf("got %+v, want slope 0.25, intercept 0.5 and 4 points", l)
	}
}

func TestCPUTimeOfMissingProcessFails(t *testing.T) {
	if _, err := processCPUTime(1 << 30); err == nil {
		t.Error("processCPUTime of a process that does not exist returned no error")
	}
}
