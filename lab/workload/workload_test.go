package workload

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"monsoonfork/core/ident"
)

func TestSameSeedGivesSameRequests(t *testing.T) {
	for _, w := range All() {
		a, b := NewGenerator(w, 50, 3, nil), NewGenerator(w, 50, 3, nil)
		other := NewGenerator(w, 50, 4, nil)
		differs := false
		for range 200 {
			x, y := a.Next(), b.Next()
			if !reflect.DeepEqual(x, y) {
				t.Fatalf("%s: same seed gives %+v and %+v", w.Name, x, y)
			}
			differs = differs || !reflect.DeepEqual(x, other.Next())
			if n := len(strings.Fields(x.Prompt)); n != x.PromptTokens {
				t.Fatalf("%s: prompt of %d tokens, but PromptTokens is %d", w.Name, n, x.PromptTokens)
			}
		}
		if !differs {
			t.Errorf("%s: seeds 3 and 4 give the same requests", w.Name)
		}
	}
}

func TestRateFollowsTrafficFactors(t *testing.T) {
	w := Tatrasoft()
	w.Kinds = map[Kind]Weight{Status: 1}
	heavy := w.Organisations[4].Name
	g := NewGenerator(w, 100, 1, map[ident.OrganisationID]float64{heavy: 5})
	counts := make(map[ident.OrganisationID]int)
	var last Request
	for last.At < time.Minute {
		last = g.Next()
		counts[last.Organisation]++
	}
	// The weights sum to 100. The organisation with factor 5 has a weight of 8, so
	// it sends 40 requests per second and all together send 132.
	if n := counts[heavy]; n < 2200 || n > 2600 {
		t.Errorf("%d requests in a minute from the organisation with factor 5, want about 2400", n)
	}
	if n := last.Number; n < 7500 || n > 8350 {
		t.Errorf("%d requests in a minute, want about 7920", n)
	}
}
