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

// InstanceStatus states which revision is in force at an instance.
type InstanceStatus struct {
	Instance       ident.InstanceID
	State          string
	Revision       ident.Revision
	HeartbeatAgeMS int64 `json:"HeardMS"` // Milliseconds since its last heartbeat.
}

// DomainStatus lists the instances of a failure domain.
type DomainStatus struct {
	Domain    ident.DomainID
	Replied   bool `json:"Heard"` // Whether an instance of the domain replied.
	Instances []InstanceStatus
}

// Status states the newest accepted revision and where it is in force.
type Status struct {
	Revision    ident.Revision // Newest revision known to this instance.
	EditID      string
	Digest      string
	Confirmed   time.Time // When the store last confirmed that there is no newer one.
	InForce     bool      // Whether the revision is in force at every instance of every domain.
	Outdated    []string  `json:"Behind"`   // Instances with an older revision.
	Unreachable []string  `json:"NotHeard"` // Domains that did not reply, and instances without recent heartbeats.
	Domains     []DomainStatus
}

// CollectStatus requests the revisions in force from all domains.
func (s *Service) CollectStatus(ctx context.Context) Status {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	domains := s.allDomains()
	status := Status{Confirmed: s.LastConfirmed(), Domains: make([]DomainStatus, len(domains))}
	var wg sync.WaitGroup
	for i, d := range domains {
		wg.Add(1)
		go func() {
			defer wg.Done()
			status.Domains[i] = s.surveyDomain(ctx, d)
		}()
	}
	wg.Wait()
	// Read the current revision after the replies, so that no instance appears
	// to have a newer one than the status.
	if c := s.holder.Current(); c != nil {
		status.Revision, status.EditID, status.Digest = c.Revision, c.EditID, c.Digest
	}
	status.summarise()
	return status
}

// summarise fills in Outdated, Unreachable and InForce from the domains.
func (st *Status) summarise() {
	for _, d := range st.Domains {
		if !d.Replied {
			st.Unreachable = append(st.Unreachable, "domain "+string(d.Domain))
		}
		for _, i := range d.Instances {
			switch {
			case i.State == membership.Silent.String():
				st.Unreachable = append(st.Unreachable, string(i.Instance))
			case i.Revision < st.Revision:
				st.Outdated = append(st.Outdated, string(i.Instance))
			}
		}
	}
	st.InForce = st.Revision > 0 && len(st.Outdated) == 0 && len(st.Unreachable) == 0
}

// allDomains returns the domains of the configuration text, of the members and of
// this instance, sorted by name.
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

// surveyDomain requests the status of a domain's instances from its relays, one
// after another. If none replies, it returns the status known to this
// instance. The status of the instance's own domain needs no call.
func (s *Service) surveyDomain(ctx context.Context, d ident.DomainID) DomainStatus {
	v := s.table.View()
	if d == v.Self.Domain {
		return DomainStatus{Domain: d, Replied: true, Instances: s.ownDomainInstances()}
	}
	ranked := v.Ranked(d, relayRankKey)
	for _, m := range ranked[:min(relaysPerDomain, len(ranked))] {
		reply := &SurveyReply{}
		attemptCtx, cancel := context.WithTimeout(ctx, callTimeout/relaysPerDomain)
		err := s.links.Call(attemptCtx, m.ID, methodSurvey, &SurveyRequest{}, reply)
		cancel()
		if err == nil {
			return DomainStatus{Domain: d, Replied: true, Instances: instancesOf(reply)}
		}
	}
	return DomainStatus{Domain: d, Instances: s.knownInstances(d)}
}

// ownDomainInstances returns the status of the instances of this domain, as known
// to this instance.
func (s *Service) ownDomainInstances() []InstanceStatus {
	return s.knownInstances(s.table.Self().Domain)
}

// knownInstances returns the status of a domain's instances, as known to this
// instance from heartbeats.
func (s *Service) knownInstances(d ident.DomainID) []InstanceStatus {
	self := s.table.Self().ID
	var list []InstanceStatus
	for _, m := range s.table.Members() {
		if m.Domain != d || m.State == membership.Gone {
			continue
		}
		status := InstanceStatus{Instance: m.ID, State: m.State.String(), Revision: m.Revision}
		if m.ID == self {
			status.Revision = s.holder.Revision()
		} else {
			status.HeartbeatAgeMS = s.now().Sub(m.LastHeartbeat).Milliseconds()
		}
		list = append(list, status)
	}
	return list
}

// serveSurvey returns the status of the instances of this domain.
func (s *Service) serveSurvey(context.Context, ident.InstanceID, *SurveyRequest) (proto.Message, error) {
	reply := &SurveyReply{}
	for _, i := range s.ownDomainInstances() {
		reply.Instances = append(reply.Instances, &InstanceRevision{
			Instance: string(i.Instance), State: i.State, Revision: int64(i.Revision), HeardAgoMs: i.HeartbeatAgeMS,
		})
	}
	return reply, nil
}

// instancesOf converts the instances listed in a reply.
func instancesOf(reply *SurveyReply) []InstanceStatus {
	var list []InstanceStatus
	for _, r := range reply.GetInstances() {
		list = append(list, InstanceStatus{
			Instance:       ident.InstanceID(r.GetInstance()),
			State:          r.GetState(),
			Revision:       ident.Revision(r.GetRevision()),
			HeartbeatAgeMS: r.GetHeardAgoMs(),
		})
	}
	return list
}
