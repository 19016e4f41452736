package config

import (
	"fmt"
	"strings"
)

// maxDifferenceLines is the largest number of differing lines that are compared
// by longest common subsequence, whose memory grows with the square of the
// number. Of longer ones, all lines between the common first and last lines are
// printed as removed and added.
const maxDifferenceLines = 1000

// Difference returns the line difference between two texts. Removed lines begin
// with "-", added ones with "+", each followed by its line number.
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

// splitLines splits a text into lines. The newline at the end of the text starts
// no further line.
func splitLines(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}

// writeDifference writes the difference of two lists of lines by their longest
// common subsequence. offset is the number of lines before them.
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

// commonLengths returns, for each pair of positions i and j, the length of the
// longest common subsequence of a[i:] and b[j:].
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

// writeLines writes each line with a sign and its number, starting at offset+1.
func writeLines(out *strings.Builder, sign rune, lines []string, offset int) {
	for i, line := range lines {
		fmt.Fprintf(out, "%c%5d  %s\n", sign, offset+i+1, line)
	}
}
