package request

import (
	"math/rand/v2"
	"sync"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// avoidDuration is how long an endpoint that failed ranks after those that did not.
const avoidDuration = 2 * time.Second

// endpointSelector selects endpoints of plain services.
type endpointSelector struct {
	mu           sync.Mutex
	avoidedUntil map[ident.EndpointID]time.Time // When each failed endpoint is preferred again.
}

// candidates returns the endpoints that may serve a call, in order of preference:
// endpoints in the given domain before others, and endpoints that failed within
// avoidDuration last. Endpoints of equal rank are in random order. Endpoints in
// the state Leaving are excluded.
func (c *endpointSelector) candidates(s *text.Service, domain ident.DomainID, now time.Time) []text.Endpoint {
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
		if now.Before(c.avoidedUntil[e.Name]) {
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

// recordFailure ranks an endpoint last for avoidDuration.
func (c *endpointSelector) recordFailure(id ident.EndpointID, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.avoidedUntil == nil {
		c.avoidedUntil = make(map[ident.EndpointID]time.Time)
	}
	for other, until := range c.avoidedUntil {
		if now.After(until) {
			delete(c.avoidedUntil, other)
		}
	}
	c.avoidedUntil[id] = now.Add(avoidDuration)
}
