package admission

import (
	"sync"
	"time"

	"monsoonfork/core/ident"
)

// Waiting holds the classes of the requests that lack memory, by service.
type Waiting map[ident.ServiceID]ClassSet

// Add adds classes of a service.
func (w Waiting) Add(s ident.ServiceID, c ClassSet) {
	if c != 0 {
		w[s] |= c
	}
}

// Pressure holds which classes of requests lack memory, at this instance and at others. It is
// safe for concurrent use.
type Pressure struct {
	now func() time.Time

	mu          sync.Mutex
	own         map[ident.ServiceID]*[Classes]time.Time // Until when each class counts as waiting here.
	others      Waiting                                 // At the other instances, as last reported.
	othersUntil time.Time                               // When that report expires.
}

// NewPressure returns a Pressure without any waiting requests.
func NewPressure(now func() time.Time) *Pressure {
	return &Pressure{now: now, own: make(map[ident.ServiceID]*[Classes]time.Time)}
}

// Record records that a request of this instance lacks memory. It counts until the given time.
func (p *Pressure) Record(s ident.ServiceID, c Class, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.own[s] == nil {
		p.own[s] = new([Classes]time.Time)
	}
	if until.After(p.own[s][c]) {
		p.own[s][c] = until
	}
}

// Own returns the classes that wait at this instance.
func (p *Pressure) Own() Waiting {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, list := p.now(), make(Waiting)
	for s := range p.own {
		list.Add(s, p.ownClasses(s, now))
	}
	return list
}

// ownClasses returns the classes of a service that wait at this instance. The caller holds mu.
func (p *Pressure) ownClasses(s ident.ServiceID, now time.Time) ClassSet {
	var set ClassSet
	if until := p.own[s]; until != nil {
		for c, at := range until {
			if now.Before(at) {
				set = set.With(Class(c))
			}
		}
	}
	return set
}

// SetOthers replaces the classes that wait at the other instances. They count until the given time.
func (p *Pressure) SetOthers(w Waiting, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.others, p.othersUntil = w, until
}

// Classes returns the classes of a service that wait at this or at other instances.
func (p *Pressure) Classes(s ident.ServiceID) ClassSet {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	set := p.ownClasses(s, now)
	if now.Before(p.othersUntil) {
		set |= p.others[s]
	}
	return set
}

// ShortElsewhere returns for how many services requests at other instances lack memory.
func (p *Pressure) ShortElsewhere() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.now().Before(p.othersUntil) {
		return 0
	}
	return int64(len(p.others))
}
