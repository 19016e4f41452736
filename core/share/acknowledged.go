package share

import "monsoonfork/core/ident"

// acknowledged is what a collector is known to have of this instance's usage, so that reports
// contain only what has changed. It is used by the goroutine that reports.
type acknowledged struct {
	collector ident.InstanceID
	reply     int64 // Sequence of its last reply; 0 if there is none.
	usage     usageByOrganisation
}

// reset forgets what the collector has. The next report contains everything.
func (a *acknowledged) reset(collector ident.InstanceID) {
	*a = acknowledged{collector: collector, usage: make(usageByOrganisation)}
}

// report returns the report of the usage that the collector lacks.
func (a *acknowledged) report(totals []*Usage) *Report {
	r := &Report{Reply: a.reply}
	for _, u := range totals {
		known, ok := a.usage[ident.OrganisationID(u.GetOrganisation())]
		if !ok || known != usageOf(u) {
			r.Admitted = append(r.Admitted, u)
		}
	}
	return r
}

// record records that the collector has replied to a report.
func (a *acknowledged) record(r *Report, reply *ReportReply) {
	a.reply = reply.GetSequence()
	if a.reply == 0 { // The collector takes only complete reports.
		return
	}
	for _, u := range r.GetAdmitted() {
		a.usage[ident.OrganisationID(u.GetOrganisation())] = usageOf(u)
	}
}
