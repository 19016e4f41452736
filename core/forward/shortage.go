package forward

import (
	"math"
	"sync"
	"time"

	"monsoonfork/core/ident"
)

const (
	// shortageWeight is the weight of the newest round of reservations in the average of its
	// service.
	shortageWeight = 0.1
	// shortageDecay is the time after which an average without new rounds has fallen to a third.
	// Memory is freed as streams end, which takes seconds.
	shortageDecay = 10 * time.Second
)

// shortages holds, by service, the recent fraction of the rounds of reservation calls in which no
// decode engine granted a reservation to this instance. It is higher than the fraction of the
// requests that are refused: a request asks again until it has waited for too long.
type shortages struct {
	mu       sync.Mutex
	services map[ident.ServiceID]shortage
}

// shortage is the decaying average of a service's rounds, 1 for each one in vain.
type shortage struct {
	inVain float64
	at     time.Time
}

// valueAt returns the average at a time.
func (s shortage) valueAt(now time.Time) float64 {
	return s.inVain * math.Exp(-float64(now.Sub(s.at))/float64(shortageDecay))
}

// record adds a round, and whether an engine has granted a reservation in it.
func (s *shortages) record(service ident.ServiceID, granted bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services == nil {
		s.services = make(map[ident.ServiceID]shortage)
	}
	value := (1 - shortageWeight) * s.services[service].valueAt(now)
	if !granted {
		value += shortageWeight
	}
	s.services[service] = shortage{value, now}
}

// estimate returns the part of a service's rounds that are in vain, from 0 to 1.
func (s *shortages) estimate(service ident.ServiceID, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.services[service].valueAt(now)
}
