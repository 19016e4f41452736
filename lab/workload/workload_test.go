package workload

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"monsoonfork/core/ident"
)

func TestSameSeedSameRequests(t *testing.T) {
	for _, w := range All() {
		a, b := NewGenerator(w, 50, 3, nil), NewGenerator(w, 50, 3, nil)
		other := NewGenerator(w, 50, 4, nil)
		differs := false
		for range 200 {
			x, y := a.Next(), b.Next()
			if !reflect.DeepEqual(x, y) {
				t.Fatalf("%s: %+v and %+v", w.Name, x, y)
			}
			differs = differs || !reflect.DeepEqual(x, other.Next())
			if n := len(strings.Fields(x.Prompt)); n != x.PromptTokens {
				t.Fatalf("%s: prompt of %d tokens says %d", w.Name, n, x.PromptTokens)
			}
		}
		if !differs {
			t.Errorf("%s: another seed gives the same requests", w.Name)
		}
	}
}

func TestRateAndFactors(t *testing.T) {
	w := Tatrasoft()
	w.Kinds = map[Kind]Share{Status: 1}
	loud := w.Organisations[4].Name
	g := NewGenerator(w, 100, 1, map[ident.OrganisationID]float64{loud: 5})
	counts := make(map[ident.OrganisationID]int)
	var last Request
	for last.At < time.Minute {
		last = g.Next()
		counts[last.Organisation]++
	}
	// Shares sum to 100; the loud one sends 5 times its share of 8.
	if n := counts[loud]; n < 2200 || n > 2600 {
		t.Errorf("%d requests of the loud organisation in a minute, want about 2400", n)
	}
	if n := last.Number; n < 7500 || n > 8350 {
		t.Errorf("%d requests in a minute, want about 7920", n)
	}
}
