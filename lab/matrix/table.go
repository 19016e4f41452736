package matrix

import (
	"fmt"
	"slices"
	"strings"
)

// Table returns the cells of single events as a Markdown table, an event a line and a state a
// column. Where the kinds of route differ, all their outcomes are given. Outcomes that the rules
// do not allow are bold.
func Table(cells []Cell) string {
	type place struct {
		event Event
		state State
	}
	entries := make(map[place][]string)
	ran := make(map[Event]bool)
	for _, c := range cells {
		at := place{c.Events[0], c.Row.State}
		ran[at.event] = true
		text := c.Outcome.String()
		if !c.OK() {
			text = "**" + text + "**"
		}
		if !slices.Contains(entries[at], text) {
			entries[at] = append(entries[at], text)
		}
	}
	var b strings.Builder
	b.WriteString("| event |")
	separator := "| --- |"
	for _, s := range reachedStates() {
		fmt.Fprintf(&b, " %s |", s)
		separator += " --- |"
	}
	b.WriteString("\n" + separator + "\n")
	for e := range eventCount {
		if !ran[e] {
			continue
		}
		fmt.Fprintf(&b, "| %s |", e)
		for _, s := range reachedStates() {
			fmt.Fprintf(&b, " %s |", strings.Join(entries[place{e, s}], ", "))
		}
		b.WriteString("\n")
	}
	return b.String()
}

// reachedStates returns the states that a request of some kind can be in.
func reachedStates() []State {
	var states []State
	for _, r := range Rows() {
		if !slices.Contains(states, r.State) {
			states = append(states, r.State)
		}
	}
	return states
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
