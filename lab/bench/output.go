package bench

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"
	"time"
)

// Header returns the column names of the table and of the CSV file.
func Header() []string {
	return []string{
		"Workload", "Load", "Faults", "Policy", "Seed", "Arrivals", "Goodput", "GoodputTokens", "Whole",
		"WastedPrefill", "Worst", "WorstName", "Wrongful", "Broken",
		"First50ms", "First95ms", "First99ms", "Gap50ms", "Gap95ms", "Gap99ms", "SentLate99ms",
	}
}

// Row returns the values of a result in the order of Header.
func (r *Result) Row() []string {
	row := []string{
		r.Workload, formatNumber(r.Load), r.Faults, r.Policy, strconv.FormatUint(r.Seed, 10), strconv.Itoa(r.Arrivals),
		formatNumber(r.Goodput), formatNumber(r.GoodputTokens), formatNumber(r.CompletePerSecond),
		formatNumber(r.WastedPrefill), formatNumber(r.LowestServedRatio), r.LowestServedOrganisation, formatNumber(r.WrongfulRefusalRatio), strconv.Itoa(r.Failed),
	}
	for _, d := range []time.Duration{
		r.FirstTokenLatencies[0], r.FirstTokenLatencies[1], r.FirstTokenLatencies[2], r.TokenIntervals[0], r.TokenIntervals[1], r.TokenIntervals[2], r.SendDelay99,
	} {
		row = append(row, formatNumber(float64(d.Microseconds())/1000))
	}
	return row
}

// formatNumber formats a value with three decimals.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

// WriteCSV writes the results to a CSV file.
func WriteCSV(path string, results []*Result) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := csv.NewWriter(f)
	if err := w.Write(Header()); err != nil {
		return err
	}
	for _, r := range results {
		if err := w.Write(r.Row()); err != nil {
			return err
		}
	}
	w.Flush()
	if err := w.Error(); err != nil {
		return err
	}
	return f.Close()
}

// Print writes the results as a table with a header.
func Print(out io.Writer, results []*Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.AlignRight)
	printRow(w, Header())
	for _, r := range results {
		printRow(w, r.Row())
	}
	return w.Flush()
}

// printRow writes one row for a tabwriter.
func printRow(w io.Writer, cells []string) {
	for _, c := range cells {
		_, _ = fmt.Fprintf(w, "%s\t", c)
	}
	_, _ = fmt.Fprintln(w)
}
