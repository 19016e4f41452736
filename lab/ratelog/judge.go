package ratelog

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"monsoonfork/core/ident"
)

// Verdict compares the tries of an organisation with one exact bucket.
type Verdict struct {
	Organisation   ident.OrganisationID
	Limit          Limit // The last one that was named.
	Tries          int
	Refused        int // By the instances.
	RefusedExactly int // By the exact bucket.
	Wrongful       int // By the instances, though the exact bucket admits them.
	WrongfulTokens ident.Tokens
	Excess         float64 // Most tokens admitted in a window, as a multiple of rate x window + burst of its time.
	Levels         []Level // The exact bucket at each try.
}

// Level is the exact bucket at a try.
type Level struct {
	At      time.Time
	Tokens  float64 // Before the try.
	Refused bool    // By the instances.
}

// Judge replays the tries of each organisation of which one was refused on an exact bucket, which is
// full at the first try. The organisations with most wrongful refusals are first.
func Judge(tries []Try, window time.Duration) []Verdict {
	byOrganisation := make(map[ident.OrganisationID][]Try)
	for _, t := range tries {
		byOrganisation[t.Organisation] = append(byOrganisation[t.Organisation], t)
	}
	var verdicts []Verdict
	for name, list := range byOrganisation {
		slices.SortStableFunc(list, func(a, b Try) int { return a.At.Compare(b.At) })
		if first := slices.IndexFunc(list, func(t Try) bool { return t.Limit.Rate > 0 }); first >= 0 {
			verdicts = append(verdicts, judgeOne(name, list, list[first].Limit, window))
		}
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(b.Wrongful, a.Wrongful), cmp.Compare(a.Organisation, b.Organisation))
	})
	return verdicts
}

// judgeOne replays the tries of one organisation. limit holds until a refusal names another one.
func judgeOne(name ident.OrganisationID, tries []Try, limit Limit, window time.Duration) Verdict {
	v := Verdict{Organisation: name, Tries: len(tries)}
	level, at := float64(limit.Burst), tries[0].At
	var admitted []Try
	sum := ident.Tokens(0)
	for _, t := range tries {
		if t.Limit.Rate > 0 {
			limit = t.Limit
		}
		level = min(level+float64(limit.Rate)*t.At.Sub(at).Seconds(), float64(limit.Burst))
		at = t.At
		v.Levels = append(v.Levels, Level{At: at, Tokens: level, Refused: t.Refused})
		exact := level >= float64(t.Cost)
		if exact {
			level -= float64(t.Cost)
		} else {
			v.RefusedExactly++
		}
		if t.Refused {
			v.Refused++
			if exact {
				v.Wrongful++
				v.WrongfulTokens += t.Cost
			}
			continue
		}
		admitted, sum = append(admitted, t), sum+t.Cost
		for !admitted[0].At.After(at.Add(-window)) {
			sum -= admitted[0].Cost
			admitted = admitted[1:]
		}
		v.Excess = max(v.Excess, float64(sum)/(float64(limit.Rate)*window.Seconds()+float64(limit.Burst)))
	}
	v.Limit = limit
	return v
}

// Print writes a table of verdicts.
func Print(w io.Writer, verdicts []Verdict) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "organisation\trate\tburst\ttries\trefused\texactly\twrongful\ttokens\texcess")
	for _, v := range verdicts {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\n", v.Organisation, int64(v.Limit.Rate), int64(v.Limit.Burst),
			v.Tries, v.Refused, v.RefusedExactly, v.Wrongful, int64(v.WrongfulTokens), v.Excess)
	}
	return table.Flush()
}
