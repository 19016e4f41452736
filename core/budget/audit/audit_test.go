package audit

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"monsoonfork/core/ident"
)

// tolerance, in tokens, allows for rounding errors.
const tolerance = 0.001

// worstExcessByPairs computes the greatest excess over the windows between
// every pair of admissions.
func worstExcessByPairs(list []Record, limit Limit) float64 {
	worst := math.Inf(-1)
	for _, first := range list {
		for _, last := range list {
			if last.MonotonicNs < first.MonotonicNs {
				continue
			}
			sum := 0.0
			for _, l := range list {
				if first.MonotonicNs <= l.MonotonicNs && l.MonotonicNs <= last.MonotonicNs {
					sum += float64(l.Charged)
				}
			}
			length := float64(last.MonotonicNs-first.MonotonicNs) / 1e9
			worst = max(worst, sum-float64(limit.Rate)*length-float64(limit.Burst))
		}
	}
	return worst
}

func TestCheckFindsWorstWindow(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(4711)
	properties := gopter.NewProperties(p)
	properties.Property("the single pass finds the same excess as a check of all windows", prop.ForAll(
		func(seed uint64, n int) bool {
			r := rand.New(rand.NewPCG(seed, 7))
			limit := Limit{Rate: 100, Burst: 50}
			l := NewAdmissions()
			var lines []Record
			for i := range n {
				line := Record{Organisation: "a", Reservation: uint64(i), Charged: ident.Tokens(r.Int64N(60)), MonotonicNs: r.Int64N(5e9)}
				lines = append(lines, line)
				l.AddRecord(line)
			}
			got := l.CheckLimits(map[ident.OrganisationID]Limit{"a": limit})[0]
			return math.Abs(got.Excess-worstExcessByPairs(lines, limit)) < tolerance
		}, gen.UInt64(), gen.IntRange(1, 25)))
	properties.TestingRun(t)
}

func TestSettledReservationsCountUsedTokens(t *testing.T) {
	l := NewAdmissions()
	l.AddRecord(Record{Instance: "i", Organisation: "a", Reservation: 1, Charged: 100, MonotonicNs: 5})
	l.AddRecord(Record{Instance: "i", Organisation: "a", Reservation: 1, Charged: 100, Settled: true, Used: 40, MonotonicNs: 9})
	l.AddRecord(Record{Instance: "j", Organisation: "a", Reservation: 1, Charged: 30, MonotonicNs: 7})
	res := l.CheckLimits(nil)
	if len(res) != 1 || res[0].Used != 70 || res[0].Admissions != 2 {
		t.Errorf("got %+v, want 70 tokens in 2 admissions", res)
	}
	if res[0].Excess < 70-tolerance {
		t.Errorf("an organisation without a limit may use nothing; excess %v", res[0].Excess)
	}
}

func TestTruncatedLastLineIsIgnored(t *testing.T) {
	whole, err := json.Marshal(Record{Instance: "i", Organisation: "a", Reservation: 1, Charged: 10})
	if err != nil {
		t.Fatal(err)
	}
	l := NewAdmissions()
	if err := l.Add(strings.NewReader(string(whole) + "\n" + string(whole[:10]))); err != nil {
		t.Error(err)
	}
	if err := NewAdmissions().Add(strings.NewReader("{torn\n" + string(whole) + "\n")); err == nil {
		t.Error("a malformed line in the middle was accepted")
	}
}
