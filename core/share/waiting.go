package share

import (
	"time"

	"github.com/go-kit/log/level"

	"monsoonfork/core/admission"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

const (
	// waitingTTL is how long a reply tells what requests wait at other instances.
	waitingTTL = time.Second
	// maxWaitingServices is how many services a message may list.
	maxWaitingServices = 1000
)

// waitingMessages returns the messages for requests that lack memory.
func waitingMessages(w admission.Waiting) []*Waiting {
	list := make([]*Waiting, 0, len(w))
	for service, classes := range w {
		list = append(list, &Waiting{Service: string(service), Priorities: uint32(classes)})
	}
	return list
}

// readWaiting returns the requests in a message of another instance. Priorities that are not known
// here are left out.
func (s *Shares) readWaiting(from ident.InstanceID, list []*Waiting) admission.Waiting {
	if len(list) > maxWaitingServices {
		_ = level.Warn(s.log).Log("msg", event.PeerRecordIgnored, "from", string(from), "record", "waiting", "err", fault.New(fault.BadRequest, "%d services are more than %d", len(list), maxWaitingServices))
		return nil
	}
	w := make(admission.Waiting, len(list))
	for _, m := range list {
		w.Add(ident.ServiceID(m.GetService()), admission.ClassSet(m.GetPriorities()&uint32(admission.AllClasses)))
	}
	return w
}

// recordWaiting stores which requests wait at a source that has just reported.
func (s *usageTotals) recordWaiting(from ident.InstanceID, w admission.Waiting) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if src := s.sources[from]; src != nil {
		src.waiting = w
	}
}

// waitingExcept returns the requests that wait at all sources with a valid report but one.
func (s *usageTotals) waitingExcept(excluded ident.InstanceID) admission.Waiting {
	return s.waitingAt(func(id ident.InstanceID, _ *source) bool { return id != excluded })
}

// waitingIn returns the requests that wait at the members of a domain.
func (s *usageTotals) waitingIn(domain ident.DomainID) admission.Waiting {
	return s.waitingAt(func(_ ident.InstanceID, src *source) bool { return src.domain == domain })
}

// waitingAt returns the requests that wait at some of the sources with a valid report.
func (s *usageTotals) waitingAt(includes func(ident.InstanceID, *source) bool) admission.Waiting {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, sum := s.bootTime(), make(admission.Waiting)
	for id, src := range s.sources {
		if !now.Before(src.validUntil) || !includes(id, src) {
			continue
		}
		for service, classes := range src.waiting {
			sum.Add(service, classes)
		}
	}
	return sum
}
