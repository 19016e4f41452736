package slopes

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"
)

// Header is the header line of the table of points.
const Header = "axis           value   cpu%/daemon  control%  memory-MB  bytes-out/s  store-reads/min  store-writes/min  watches  served/s"

// Row returns the point as one line of the table, in the columns of Header.
func (p Point) Row() string {
	return fmt.Sprintf("%-14s %5d %13.3f %9.3f %10.1f %12.0f %16.1f %17.1f %8.0f %9.2f",
		p.Axis, p.Value, p.CPUPercent, p.ControlCPU, float64(p.MemoryBytes)/(1<<20), p.BytesOut, p.StoreReads, p.StoreWrites, p.Watches, p.Served)
}

// cost is a resource use to which a line is fitted.
type cost struct {
	name  string
	unit  string
	value func(Point) float64
}

// costs are all costs to which lines are fitted.
var costs = []cost{
	{"processor", "% of a core", func(p Point) float64 { return p.CPUPercent }},
	{"control", "% of a core", func(p Point) float64 { return p.ControlCPU }},
	{"memory", "bytes", func(p Point) float64 { return float64(p.MemoryBytes) }},
	{"sent", "bytes/s", func(p Point) float64 { return p.BytesOut }},
	{"store reads", "a minute", func(p Point) float64 { return p.StoreReads }},
	{"store writes", "a minute", func(p Point) float64 { return p.StoreWrites }},
}

// Line is a straight line fitted to one cost of the points of an axis.
type Line struct {
	Axis      Axis
	Cost      string
	Unit      string
	Intercept float64
	Slope     float64 // Increase of the cost per unit of the axis.
	Points    int     // Number of points that the line is fitted to.
}

// FitLines fits a line by least squares to each cost of each axis. Axes with fewer
// than two points are left out.
func FitLines(points []Point) []Line {
	var lines []Line
	for _, axis := range Axes() {
		var axisPoints []Point
		for _, p := range points {
			if p.Axis == axis {
				axisPoints = append(axisPoints, p)
			}
		}
		if len(axisPoints) < 2 {
			continue
		}
		for _, c := range costs {
			line := fitLine(axisPoints, c.value)
			line.Axis, line.Cost, line.Unit = axis, c.name, c.unit
			lines = append(lines, line)
		}
	}
	return lines
}

// fitLine fits a line by least squares to the values of the points.
func fitLine(points []Point, value func(Point) float64) Line {
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		x, y := float64(p.Value), value(p)
		sumX += x
		sumY += y
		sumXX += x * x
		sumXY += x * y
	}
	n := float64(len(points))
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return Line{Intercept: (sumY - slope*sumX) / n, Slope: slope, Points: len(points)}
}

// Print writes the lines as a table, each as intercept + slope x.
func Print(w io.Writer, lines []Line) error {
	for _, l := range lines {
		_, err := fmt.Fprintf(w, "%-14s %-13s %14.4f + %12.5f x  (%s, %d points)\n",
			l.Axis, l.Cost, l.Intercept, l.Slope, l.Unit, l.Points)
		if err != nil {
			return err
		}
	}
	return nil
}

// WriteCSV writes the points to a CSV file.
func WriteCSV(path string, points []Point) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	w := csv.NewWriter(f)
	rows := [][]string{{"Axis", "Value", "CPUPercent", "ControlCPU", "MemoryBytes", "BytesOut", "StoreReads", "StoreWrites", "Watches", "Served"}}
	for _, p := range points {
		row := []string{p.Axis.String(), strconv.Itoa(p.Value)}
		for _, v := range []float64{p.CPUPercent, p.ControlCPU, float64(p.MemoryBytes), p.BytesOut, p.StoreReads, p.StoreWrites, p.Watches, p.Served} {
			row = append(row, strconv.FormatFloat(v, 'f', 3, 64))
		}
		rows = append(rows, row)
	}
	if err := w.WriteAll(rows); err != nil {
		return err
	}
	return f.Close()
}
