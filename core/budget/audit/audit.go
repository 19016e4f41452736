// Package audit checks the admission logs of all processes against the rate
// and burst of each organisation, over every time window.
package audit

import (
	"bufio"
	"encoding/json"
	"io"
	"sort"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Record is one line of an admission log: an admission or a settlement.
type Record struct {
	Instance     ident.InstanceID     // The instance that charged the request.
	Organisation ident.OrganisationID // The organisation that was charged.
	Reservation  uint64               // Unique within the instance and organisation.
	Charged      ident.Tokens         // Upper bound charged at admission.
	Settled      bool                 // Whether this record settles the reservation.
	Used         ident.Tokens         // Tokens used; only if Settled.
	Wall         string               // RFC 3339 time, for human readers.
	MonotonicNs  int64                // Machine's monotonic clock, in nanoseconds.
}

// Limit is what an organisation may use: at most Rate*W + Burst tokens in any
// window W.
type Limit struct {
	Rate  ident.TokensPerSecond
	Burst ident.Tokens
}

// Result is the outcome of the check for one organisation.
type Result struct {
	Organisation               ident.OrganisationID
	Admissions                 int
	Used                       ident.Tokens // Sum over all admissions.
	Excess                     float64      // Most tokens above Rate*W + Burst in any window W; not positive if the limit held.
	WindowStartNs, WindowEndNs int64        // The window of Excess, in monotonic nanoseconds.
}

// Admissions holds the admissions read from the logs of all processes.
type Admissions struct {
	admissions map[reservationKey]*admission
}

// reservationKey identifies a reservation over all processes.
type reservationKey struct {
	instance    ident.InstanceID
	org         ident.OrganisationID
	reservation uint64
}

// admission is one admitted request with the tokens it used: the whole charge
// until it is settled.
type admission struct {
	admittedAt int64 // Monotonic nanoseconds.
	used       ident.Tokens
}

// NewAdmissions returns Admissions without any record.
func NewAdmissions() *Admissions { return &Admissions{admissions: make(map[reservationKey]*admission)} }

// Add reads the log of one process. An incomplete last line, from a process
// that was killed while writing, is ignored.
func (l *Admissions) Add(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		var record Record
		if err := json.Unmarshal(scanner.Bytes(), &record); err != nil {
			if !scanner.Scan() {
				return scanner.Err()
			}
			return fault.Wrap(err, fault.Internal, "malformed line of an admission log")
		}
		l.AddRecord(record)
	}
	return scanner.Err()
}

// AddRecord adds one record. The first record of a reservation is its admission.
func (l *Admissions) AddRecord(record Record) {
	k := reservationKey{record.Instance, record.Organisation, record.Reservation}
	a, ok := l.admissions[k]
	switch {
	case !ok:
		l.admissions[k] = &admission{admittedAt: record.MonotonicNs, used: record.Charged}
	case record.Settled:
		a.used = record.Used
	}
}

// CheckLimits returns a result for each organisation in l, sorted by name. An
// organisation without a limit may use nothing.
func (l *Admissions) CheckLimits(limits map[ident.OrganisationID]Limit) []Result {
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

// check finds the window of one organisation with the greatest excess. The
// sum over a window from admission i to j is above Rate*W by (sum to j -
// Rate*tj) - (sum before i - Rate*ti), so that one pass that keeps the
// smallest second term suffices.
func check(org ident.OrganisationID, list []admission, limit Limit) Result {
	sort.Slice(list, func(i, j int) bool { return list[i].admittedAt < list[j].admittedAt })
	res := Result{Organisation: org, Admissions: len(list), Excess: -float64(limit.Burst)}
	var sum, lowestBefore float64
	var windowStart int64
	for i, a := range list {
		refilled := float64(limit.Rate) * float64(a.admittedAt-list[0].admittedAt) / 1e9
		if before := sum - refilled; i == 0 || before < lowestBefore {
			lowestBefore = before
			windowStart = a.admittedAt
		}
		sum += float64(a.used)
		res.Used += a.used
		if excess := sum - refilled - lowestBefore - float64(limit.Burst); excess > res.Excess {
			res.Excess = excess
			res.WindowStartNs, res.WindowEndNs = windowStart, a.admittedAt
		}
	}
	return res
}

// Used returns the tokens used by the organisation's requests that were
// admitted in the half-open time range from from to to, in monotonic
// nanoseconds.
func (l *Admissions) Used(org ident.OrganisationID, from, to int64) ident.Tokens {
	var sum ident.Tokens
	for k, a := range l.admissions {
		if k.org == org && from <= a.admittedAt && a.admittedAt < to {
			sum += a.used
		}
	}
	return sum
}
