package replication

import "monsoonfork/core/ident"

// registeredRecords returns the registered failure domains for a reply.
func (s *Replicator) registeredRecords() []*DomainRecord {
	var records []*DomainRecord
	for domain, instances := range s.RegisteredDomains() {
		records = append(records, &DomainRecord{Domain: string(domain), Instances: int32(instances)})
	}
	return records
}

// applyRegistered applies the registered failure domains of a reply, if it has any.
func (s *Replicator) applyRegistered(r *PullReply) {
	if len(r.GetRegistered()) == 0 {
		return
	}
	domains := make(map[ident.DomainID]int, len(r.GetRegistered()))
	for _, record := range r.GetRegistered() {
		if record.GetInstances() > 0 {
			domains[ident.DomainID(record.GetDomain())] = int(record.GetInstances())
		}
	}
	s.SetRegisteredDomains(domains)
}
