package config

import (
	"fmt"
	"strings"
)

// maxDifferenceLines is the number of lines of the longest text whose lines
// are paired; longer ones are compared by their common ends only.
const maxDifferenceLines = 1000

// Difference returns the lines that change from one text to another: removed
// ones with "-", added ones with "+", each with its line number.
func Difference(from, to string) string {
	a, b := splitLines(from), splitLines(to)
	start := 0
	for start < len(a) && start < len(b) && a[start] == b[start] {
		start++
	}
	endA, endB := len(a), len(b)
	for endA > start && endB > start && a[endA-1] == b[endB-1] {
		endA--
		endB--
	}
	var out strings.Builder
	writeDifference(&out, a[start:endA], b[start:endB], start)
	return out.String()
}

// splitLines splits a text into lines without a last empty one.
func splitLines(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}

// writeDifference pairs lines by their longest common subsequence.
func writeDifference(out *strings.Builder, a, b []string, offset int) {
	if len(a) > maxDifferenceLines || len(b) > maxDifferenceLines {
		writeLines(out, '-', a, offset)
		writeLines(out, '+', b, offset)
		return
	}
	common := commonLengths(a, b)
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case j == len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			writeLines(out, '-', a[i:i+1], offset+i)
			i++
		default:
			writeLines(out, '+', b[j:j+1], offset+j)
			j++
		}
	}
}

// commonLengths gives, for each pair of positions, the length of the longest
// common subsequence of the lines from there on.
func commonLengths(a, b []string) [][]int32 {
	lengths := make([][]int32, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
				continue
			}
			lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
		}
	}
	return lengths
}

// writeLines writes lines with a sign and their numbers, from offset+1 on.
func writeLines(out *strings.Builder, sign rune, lines []string, offset int) {
	for i, line := range lines {
		fmt.Fprintf(out, "%c%5d  %s\n", sign, offset+i+1, line)
	}
}
