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

// Header returns the names of the columns.
func Header() []string {
	return []string{
		"Workload", "Load", "Faults", "Policy", "Seed", "Arrivals", "Goodput", "GoodputTokens", "Whole",
		"WastedPrefill", "Worst", "WorstName", "Wrongful", "Broken",
		"First50ms", "First95ms", "First99ms", "Gap50ms", "Gap95ms", "Gap99ms", "SentLate99ms",
	}
}

// Row returns the columns of a result.
func (r *Result) Row() []string {
	row := []string{
		r.Workload, number(r.Load), r.Faults, r.Policy, strconv.FormatUint(r.Seed, 10), strconv.Itoa(r.Arrivals),
		number(r.Goodput), number(r.GoodputTokens), number(r.Whole),
		number(r.WastedPrefill), number(r.Worst), r.WorstName, number(r.Wrongful), strconv.Itoa(r.Broken),
	}
	for _, d := range []time.Duration{
		r.First[0], r.First[1], r.First[2], r.Gap[0], r.Gap[1], r.Gap[2], r.SentLate99,
	} {
		row = append(row, number(float64(d.Microseconds())/1000))
	}
	return row
}

// number formats a measure.
func number(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

// WriteCSV writes the results to a file.
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

// Print writes the results as a table.
func Print(out io.Writer, results []*Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.AlignRight)
	printRow(w, Header())
	for _, r := range results {
		printRow(w, r.Row())
	}
	return w.Flush()
}

// printRow writes one row of a table.
func printRow(w io.Writer, cells []string) {
	for _, c := range cells {
		_, _ = fmt.Fprintf(w, "%s\t", c)
	}
	_, _ = fmt.Fprintln(w)
}
