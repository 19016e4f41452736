package matrix

import (
	"fmt"
	"strings"
)

// Table returns the cells as a Markdown table, an event a column of numbers that are explained
// above it. Outcomes that the rules do not allow are bold.
func Table(cells []Cell) string {
	byCell := make(map[Row]map[Event]Cell)
	ran := make(map[Event]bool)
	for _, c := range cells {
		if byCell[c.Row] == nil {
			byCell[c.Row] = make(map[Event]Cell)
		}
		byCell[c.Row][c.Event], ran[c.Event] = c, true
	}
	var b strings.Builder
	b.WriteString("| state and kind |")
	separator := "| --- |"
	for e := range eventCount {
		if ran[e] {
			fmt.Fprintf(&b, " %s |", e)
			separator += " --- |"
		}
	}
	b.WriteString("\n" + separator + "\n")
	for _, r := range Rows() {
		fmt.Fprintf(&b, "| %s |", r)
		for e := range eventCount {
			if ran[e] {
				b.WriteString(" " + tableEntry(byCell[r], e) + " |")
			}
		}
		b.WriteString("\n")
	}
	return b.String()
}

// tableEntry returns the text of a cell of a table.
func tableEntry(row map[Event]Cell, e Event) string {
	c, ok := row[e]
	switch {
	case !ok:
		return "not run"
	case c.OK():
		return c.Outcome.String()
	default:
		return "**" + c.Outcome.String() + "**"
	}
}

// Unreachable returns the states and kinds that are not in the matrix, each with the reason.
func Unreachable() []string {
	var list []string
	for s := range stateCount {
		for k := range kindCount {
			if reason := (Row{s, k}).unreachable(); reason != "" {
				list = append(list, fmt.Sprintf("%s: %s", Row{s, k}, reason))
			}
		}
	}
	return list
}
