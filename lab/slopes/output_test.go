package slopes

import (
	"math"
	"testing"
)

func TestLinesFindSlopeAndIntercept(t *testing.T) {
	var points []Point
	for _, x := range []int{2, 4, 8, 16} {
		points = append(points, Point{Axis: Instances, Value: x, CPUPercent: 0.5 + 0.25*float64(x)})
	}
	lines := Lines(points)
	if len(lines) != len(columns) {
		t.Fatalf("%d lines, want %d", len(lines), len(columns))
	}
	l := lines[0]
	if math.Abs(l.Slope-0.25) > 1e-9 || math.Abs(l.Intercept-0.5) > 1e-9 || l.Points != 4 {
		t.Errorf("got %+v", l)
	}
}

func TestOwnProcessIsMeasured(t *testing.T) {
	if _, err := processorTime(1 << 30); err == nil {
		t.Error("a process that does not exist gave no error")
	}
}
