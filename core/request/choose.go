package request

import (
	"math/rand/v2"
	"sync"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// avoidTime is how long an endpoint that failed is used only as the last one.
const avoidTime = 2 * time.Second

// chooser chooses endpoints of plain services.
type chooser struct {
	mu     sync.Mutex
	failed map[ident.EndpointID]time.Time // Until when each is avoided.
}

// candidates returns the endpoints that may serve, best first: those of the
// own domain before others, those that failed lately last. Endpoints of equal
// rank come in random order. Leaving endpoints are left out.
func (c *chooser) candidates(s *text.Service, domain ident.DomainID, now time.Time) []text.Endpoint {
	const ranks = 4
	var ranked [ranks][]text.Endpoint
	c.mu.Lock()
	for _, e := range s.Endpoints {
		if e.State == text.Leaving {
			continue
		}
		rank := 0
		if e.Domain != domain {
			rank = 1
		}
		if now.Before(c.failed[e.Name]) {
			rank += 2
		}
		ranked[rank] = append(ranked[rank], e)
	}
	c.mu.Unlock()
	var list []text.Endpoint
	for _, group := range ranked {
		rand.Shuffle(len(group), func(i, j int) { group[i], group[j] = group[j], group[i] })
		list = append(list, group...)
	}
	return list
}

// noteFailure makes an endpoint come last for a while.
func (c *chooser) noteFailure(id ident.EndpointID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed == nil {
		c.failed = make(map[ident.EndpointID]time.Time)
	}
	for other, until := range c.failed {
		if now.After(until) {
			delete(c.failed, other)
		}
	}
	c.failed[id] = now.Add(avoidTime)
}
