// Package audit checks the admission logs of all processes against rate and
// burst, over every window of time.
package audit

import (
	"bufio"
	"encoding/json"
	"io"
	"sort"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Line is one line of an admission log.
type Line struct {
	Instance     ident.InstanceID     // The home that admitted.
	Organisation ident.OrganisationID //
	Reservation  uint64               // Unique within the instance and organisation.
	Charged      ident.Tokens         // What was charged when it was admitted.
	Settled      bool                 // Whether this line settles the reservation.
	Used         ident.Tokens         // What was used; only in a line that settles.
	Wall         string               // RFC 3339 time, for readers.
	MonotonicNs  int64                // The machine's monotonic clock.
}

// Limit is what an organisation may use.
type Limit struct {
	Rate  ident.TokensPerSecond
	Burst ident.Tokens
}

// Result is the outcome for one organisation.
type Result struct {
	Organisation ident.OrganisationID
	Admissions   int
	Used         ident.Tokens // Over all admissions.
	Excess       float64      // Most tokens above Rate*W + Burst in any window W; not positive when the limit held.
	From, To     int64        // The window of Excess, in monotonic nanoseconds.
}

// Log gathers the lines of all processes.
type Log struct {
	admissions map[key]*admission
}

// key names a reservation.
type key struct {
	instance    ident.InstanceID
	org         ident.OrganisationID
	reservation uint64
}

// admission is one request with what it used: all that was charged until it is
// settled.
type admission struct {
	at   int64
	used ident.Tokens
}

// NewLog returns a log without lines.
func NewLog() *Log { return &Log{admissions: make(map[key]*admission)} }

// Add reads the log of one process. A torn last line, of a process that was
// killed while it wrote, is left out.
func (l *Log) Add(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		var line Line
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			if !scanner.Scan() {
				return scanner.Err()
			}
			return fault.Wrap(err, fault.Internal, "malformed line of an admission log")
		}
		l.AddLine(line)
	}
	return scanner.Err()
}

// AddLine adds one line.
func (l *Log) AddLine(line Line) {
	k := key{line.Instance, line.Organisation, line.Reservation}
	a, ok := l.admissions[k]
	switch {
	case !ok:
		l.admissions[k] = &admission{at: line.MonotonicNs, used: line.Charged}
	case line.Settled:
		a.used = line.Used
	}
}

// Check returns a result for each organisation in the log, by name. One that
// has no limit may use nothing.
func (l *Log) Check(limits map[ident.OrganisationID]Limit) []Result {
	byOrg := make(map[ident.OrganisationID][]admission)
	for k, a := range l.admissions {
		byOrg[k.org] = append(byOrg[k.org], *a)
	}
	results := make([]Result, 0, len(byOrg))
	for org, list := range byOrg {
		results = append(results, check(org, list, limits[org]))
	}
	sort.Slice(results, func(i, j int) bool { return results[i].Organisation < results[j].Organisation })
	return results
}

// check finds the worst window of one organisation. The sum over a window from
// admission i to j is above Rate*W by (sum to j - Rate*tj) - (sum before i -
// Rate*ti), so that one pass that keeps the smallest second term suffices.
func check(org ident.OrganisationID, list []admission, limit Limit) Result {
	sort.Slice(list, func(i, j int) bool { return list[i].at < list[j].at })
	res := Result{Organisation: org, Admissions: len(list), Excess: -float64(limit.Burst)}
	var sum, lowest float64
	var from int64
	for i, a := range list {
		drained := float64(limit.Rate) * float64(a.at-list[0].at) / 1e9
		if before := sum - drained; i == 0 || before < lowest {
			lowest = before
			from = a.at
		}
		sum += float64(a.used)
		res.Used += a.used
		if excess := sum - drained - lowest - float64(limit.Burst); excess > res.Excess {
			res.Excess = excess
			res.From, res.To = from, a.at
		}
	}
	return res
}

// Used returns what an organisation used that was admitted in the time from
// from to to, in monotonic nanoseconds.
func (l *Log) Used(org ident.OrganisationID, from, to int64) ident.Tokens {
	var sum ident.Tokens
	for k, a := range l.admissions {
		if k.org == org && from <= a.at && a.at < to {
			sum += a.used
		}
	}
	return sum
}
