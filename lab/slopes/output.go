package slopes

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"
)

// Header is the heading of the rows.
const Header = "axis           value   cpu%/daemon  control%  memory-MB  bytes-out/s  store-reads/min  store-writes/min  watches  served/s"

// Row returns a point as one line under Header.
func (p Point) Row() string {
	return fmt.Sprintf("%-14s %5d %13.3f %9.3f %10.1f %12.0f %16.1f %17.1f %8.0f %9.2f",
		p.Axis, p.Value, p.CPUPercent, p.ControlCPU, float64(p.Memory)/(1<<20), p.BytesOut, p.Reads, p.Writes, p.Watches, p.Served)
}

// column is a cost that is put on a line.
type column struct {
	name  string
	unit  string
	value func(Point) float64
}

// columns are the costs whose slopes are printed.
var columns = []column{
	{"processor", "% of a core", func(p Point) float64 { return p.CPUPercent }},
	{"control", "% of a core", func(p Point) float64 { return p.ControlCPU }},
	{"memory", "bytes", func(p Point) float64 { return float64(p.Memory) }},
	{"sent", "bytes/s", func(p Point) float64 { return p.BytesOut }},
	{"store reads", "a minute", func(p Point) float64 { return p.Reads }},
	{"store writes", "a minute", func(p Point) float64 { return p.Writes }},
}

// Line is a straight line through the points of an axis.
type Line struct {
	Axis      Axis
	Cost      string
	Unit      string
	Intercept float64
	Slope     float64 // Per unit of the axis.
	Points    int
}

// Lines fits a line by least squares to each cost of each axis.
func Lines(points []Point) []Line {
	var lines []Line
	for _, axis := range Axes() {
		var on []Point
		for _, p := range points {
			if p.Axis == axis {
				on = append(on, p)
			}
		}
		if len(on) < 2 {
			continue
		}
		for _, c := range columns {
			line := fit(on, c.value)
			line.Axis, line.Cost, line.Unit = axis, c.name, c.unit
			lines = append(lines, line)
		}
	}
	return lines
}

// fit returns the line of least squares.
func fit(points []Point, value func(Point) float64) Line {
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

// Print writes the lines as a table.
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

// WriteCSV writes the points to a file.
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
		for _, v := range []float64{p.CPUPercent, p.ControlCPU, float64(p.Memory), p.BytesOut, p.Reads, p.Writes, p.Watches, p.Served} {
			row = append(row, strconv.FormatFloat(v, 'f', 3, 64))
		}
		rows = append(rows, row)
	}
	if err := w.WriteAll(rows); err != nil {
		return err
	}
	return f.Close()
}
