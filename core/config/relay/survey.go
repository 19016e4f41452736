package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// InstanceStatus says what one instance has in force.
type InstanceStatus struct {
	Instance ident.InstanceID
	State    string
	Revision ident.Revision
	HeardMS  int64 // Milliseconds since it was heard from.
}

// DomainStatus lists the instances of a failure domain.
type DomainStatus struct {
	Domain    ident.DomainID
	Heard     bool // Whether an instance of the domain answered.
	Instances []InstanceStatus
}

// Status says which revision is accepted and where it is in force.
type Status struct {
	Revision  ident.Revision // The newest that this instance knows.
	EditID    string
	Digest    string
	Confirmed time.Time // When the store confirmed that there is no newer one.
	InForce   bool      // In force at every instance and domain.
	Behind    []string  // Instances with an older revision.
	NotHeard  []string  // Instances and domains not heard from.
	Domains   []DomainStatus
}

// Survey asks all domains which revisions are in force.
func (s *Service) Survey(ctx context.Context) Status {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	domains := s.allDomains()
	status := Status{Confirmed: s.Confirmed(), Domains: make([]DomainStatus, len(domains))}
	var wg sync.WaitGroup
	for i, d := range domains {
		wg.Add(1)
		go func() {
			defer wg.Done()
			status.Domains[i] = s.surveyDomain(ctx, d)
		}()
	}
	wg.Wait()
	// Read after the answers, so that none of them is ahead unnoticed.
	if c := s.holder.Current(); c != nil {
		status.Revision, status.EditID, status.Digest = c.Revision, c.EditID, c.Digest
	}
	status.judge()
	return status
}

// judge fills in what is behind and what was not heard from.
func (st *Status) judge() {
	for _, d := range st.Domains {
		if !d.Heard {
			st.NotHeard = append(st.NotHeard, "domain "+string(d.Domain))
		}
		for _, i := range d.Instances {
			switch {
			case i.State == membership.Silent.String():
				st.NotHeard = append(st.NotHeard, string(i.Instance))
			case i.Revision < st.Revision:
				st.Behind = append(st.Behind, string(i.Instance))
			}
		}
	}
	st.InForce = st.Revision > 0 && len(st.Behind) == 0 && len(st.NotHeard) == 0
}

// allDomains returns the domains of the text, of the members and of this
// instance, by name.
func (s *Service) allDomains() []ident.DomainID {
	v := s.table.View()
	domains := []ident.DomainID{v.Self.Domain}
	if c := s.holder.Current(); c != nil {
		domains = append(domains, c.Text.Domains...)
	}
	for _, m := range v.Members() {
		if m.State != membership.Gone {
			domains = append(domains, m.Domain)
		}
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// surveyDomain asks the relays of a domain for its instances.
func (s *Service) surveyDomain(ctx context.Context, d ident.DomainID) DomainStatus {
	v := s.table.View()
	if d == v.Self.Domain {
		return DomainStatus{Domain: d, Heard: true, Instances: s.ownDomain()}
	}
	ranked := v.Ranked(d, relayKey)
	for _, m := range ranked[:min(relaysPerDomain, len(ranked))] {
		reply := &SurveyReply{}
		half, cancel := context.WithTimeout(ctx, callTimeout/relaysPerDomain)
		err := s.links.Call(half, m.ID, methodSurvey, &SurveyRequest{}, reply)
		cancel()
		if err == nil {
			return DomainStatus{Domain: d, Heard: true, Instances: instancesOf(reply)}
		}
	}
	return DomainStatus{Domain: d, Instances: s.known(d)}
}

// ownDomain returns the instances of this domain as this one sees them.
func (s *Service) ownDomain() []InstanceStatus { return s.known(s.table.Self().Domain) }

// known returns the instances of a domain that this one knows.
func (s *Service) known(d ident.DomainID) []InstanceStatus {
	v := s.table.View()
	var list []InstanceStatus
	for _, m := range v.Members() {
		if m.Domain != d || m.State == membership.Gone {
			continue
		}
		status := InstanceStatus{Instance: m.ID, State: m.State.String(), Revision: m.Revision}
		if m.ID == v.Self.ID {
			status.Revision = s.holder.Revision()
		} else {
			status.HeardMS = s.now().Sub(m.LastHeard).Milliseconds()
		}
		list = append(list, status)
	}
	return list
}

// serveSurvey answers with the instances of this domain.
func (s *Service) serveSurvey(context.Context, ident.InstanceID, *SurveyRequest) (proto.Message, error) {
	reply := &SurveyReply{}
	for _, i := range s.ownDomain() {
		reply.Instances = append(reply.Instances, &InstanceRevision{
			Instance: string(i.Instance), State: i.State, Revision: int64(i.Revision), HeardAgoMs: i.HeardMS,
		})
	}
	return reply, nil
}

// instancesOf returns the instances that a reply lists.
func instancesOf(reply *SurveyReply) []InstanceStatus {
	var list []InstanceStatus
	for _, r := range reply.GetInstances() {
		list = append(list, InstanceStatus{
			Instance: ident.InstanceID(r.GetInstance()),
			State:    r.GetState(),
			Revision: ident.Revision(r.GetRevision()),
			HeardMS:  r.GetHeardAgoMs(),
		})
	}
	return list
}
