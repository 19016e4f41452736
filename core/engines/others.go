package engines

import (
	"time"

	"monsoonfork/core/ident"
)

// prefillReportWeight is the weight of the newest report in the average of the others' prefills. A
// prefill often takes less time than there is between two reports, so that a single one tells
// little about the queue of an engine.
const prefillReportWeight = 0.3

// Report is what one instance, or several together, have to report of an engine.
type Report struct {
	Load    Load // Open work.
	Decode  Pace // See DecodePace.
	Prefill Pace // See PrefillPace.
}

// others is what all other instances have reported of an engine.
type others struct {
	report     Report
	prefill    float64   // Average of the prompt tokens of open prefills in the latest reports.
	asOf       time.Time // Mean time of the reports.
	validUntil time.Time
}

// plus returns the sum of two loads.
func (l Load) plus(m Load) Load {
	return Load{l.Running + m.Running, l.Memory + m.Memory, l.Prefill + m.Prefill}
}

// OwnReport returns what this instance has to report of the engine.
func (e *Engine) OwnReport(now time.Time) Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Report{Load{e.running, e.reserved, e.prefillTokens}, e.decodePace.pace(now), e.prefillPace.pace(now)}
}

// SetOthers sets what all other instances report of the engine, as of a time and valid until
// another one.
func (e *Engine) SetOthers(r Report, asOf, validUntil time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	prefill := float64(r.Load.Prefill)
	if asOf.Before(e.others.validUntil) {
		prefill = e.others.prefill + prefillReportWeight*(prefill-e.others.prefill)
	}
	e.others = others{r, prefill, asOf, validUntil}
}

// validOthers returns what all other instances report, if that is still valid. The caller must
// hold mu.
func (e *Engine) validOthers(now time.Time) Report {
	if !now.Before(e.others.validUntil) {
		return Report{}
	}
	return e.others.report
}

// TotalLoad returns the open work of all instances at the engine, and how old the part of the
// others is. The prefills of the others are an average over the latest reports. ok is false if the
// part of the others is not known; total is then the load of this instance.
func (e *Engine) TotalLoad(now time.Time) (total Load, age time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	total = Load{e.running, e.reserved, e.prefillTokens}
	if !now.Before(e.others.validUntil) {
		return total, 0, false
	}
	others := e.others.report.Load
	others.Prefill = ident.Tokens(e.others.prefill)
	return total.plus(others), max(0, now.Sub(e.others.asOf)), true
}
