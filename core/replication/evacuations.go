package replication

import (
	"monsoonfork/core/evacuation"
	"monsoonfork/core/ident"
)

// noEvacuations is the revision that a request has if its caller has no set of evacuated
// failure domains yet.
const noEvacuations = -1

// evacuationRevision returns the revision of this instance's set of evacuated failure domains.
func (s *Replicator) evacuationRevision() int64 {
	set, known := s.Evacuations()
	if !known {
		return noEvacuations
	}
	return set.Revision
}

// newerEvacuations returns the set of evacuated failure domains if it is newer than the
// caller's, and nil otherwise. A caller that does not know of evacuations gets none, as each
// reply that has one is sent without a wait.
func (s *Replicator) newerEvacuations(r *PullRequest) *EvacuationRecord {
	set, known := s.Evacuations()
	if !known || r.EvacuationRevision == nil || set.Revision <= r.GetEvacuationRevision() {
		return nil
	}
	record := &EvacuationRecord{Revision: set.Revision}
	for _, domain := range set.Domains {
		record.Domains = append(record.Domains, string(domain))
	}
	return record
}

// applyEvacuations applies the set of evacuated failure domains of a reply, if it has one.
func (s *Replicator) applyEvacuations(r *PullReply) {
	record := r.GetEvacuations()
	if record == nil {
		return
	}
	set := evacuation.Set{Revision: record.GetRevision()}
	for _, domain := range record.GetDomains() {
		set.Domains = append(set.Domains, ident.DomainID(domain))
	}
	s.ApplyEvacuations(set)
}
