package config

import (
	"strconv"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"monsoonfork/core/ident"
)

func TestDifference(t *testing.T) {
	got := Difference("a\nb\nc\nd\n", "a\nc\nx\nd\n")
	want := "-    2  b\n+    3  x\n"
	if got != want {
		t.Errorf("Difference =\n%swant\n%s", got, want)
	}
	if got := Difference("a\n", "a\n"); got != "" {
		t.Errorf("Difference of equal texts = %q", got)
	}
}

// TestDifferenceReconstructsText checks that applying the difference of two texts
// to the first one gives the second.
func TestDifferenceReconstructsText(t *testing.T) {
	lines := gen.SliceOf(gen.OneConstOf("a", "b", "c", "d"))
	properties := gopter.NewProperties(nil)
	properties.Property("the difference turns one text into the other", prop.ForAll(
		func(a, b []string) bool { return applyDifference(a, Difference(join(a), join(b))) == join(b) },
		lines, lines,
	))
	properties.TestingRun(t)
}

func itoa(n int) string { return strconv.Itoa(n) }

func join(lines []string) string {
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(lines, "\n") + "\n"
}

// applyDifference returns the text that results from applying a difference to
// lines.
func applyDifference(from []string, difference string) string {
	removed, added := map[string]bool{}, map[string]string{}
	for _, line := range splitLines(difference) {
		number := strings.TrimSpace(line[1:6])
		if line[0] == '-' {
			removed[number] = true
			continue
		}
		added[number] = line[8:]
	}
	var out []string
	next := 0
	for {
		if line, ok := added[itoa(len(out)+1)]; ok {
			out = append(out, line)
			continue
		}
		for next < len(from) && removed[itoa(next+1)] {
			next++
		}
		if next == len(from) {
			return join(out)
		}
		out = append(out, from[next])
		next++
	}
}

// TestRevisionOnlyGrows offers snapshots in random order.
func TestRevisionOnlyGrows(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("the current revision is the highest offered so far", prop.ForAll(
		func(offers []int64) bool {
			h := NewHolder()
			var highest ident.Revision
			for _, r := range offers {
				accepted := h.Update(&Snapshot{Revision: ident.Revision(r)})
				if accepted != (ident.Revision(r) > highest) {
					return false
				}
				highest = max(highest, ident.Revision(r))
				if h.Revision() != highest {
					return false
				}
			}
			return true
		},
		gen.SliceOf(gen.Int64Range(1, 50)),
	))
	properties.TestingRun(t)
}
