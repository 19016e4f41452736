package subset

import (
	"slices"
	"sync"

	"monsoonfork/core/ident"
)

const (
	// Size is the number of engines that an instance prefers.
	Size = 4
	// MinEngines is the least number of engines of a service for which an instance prefers some;
	// with fewer, each instance uses all.
	MinEngines = 25
)

// Chooser keeps the order in which an instance prefers the engines of its failure domain. The
// exported fields are set before the first use.
type Chooser struct {
	Self    ident.InstanceID
	Members func() []ident.InstanceID // Live instances of the own failure domain, sorted.

	mu     sync.Mutex
	orders map[Class]order
}

// Class is a class of engines that can take each other's place.
type Class struct {
	Service ident.ServiceID
	Prefill bool // The engines prefill; otherwise they decode or answer plain requests.
}

// order is the order of a class of engines, with what it was computed from.
type order struct {
	members   []ident.InstanceID
	engines   []ident.EndpointID
	positions Positions
}

// Positions holds the position of each preferred engine, from 0. It is not changed after it was
// returned.
type Positions map[ident.EndpointID]int

// Of returns the position of an engine, Size for one that is not preferred, and 0 if no engine
// is.
func (p Positions) Of(id ident.EndpointID) int {
	if len(p) == 0 {
		return 0
	}
	if n, ok := p[id]; ok {
		return n
	}
	return Size
}

// Positions returns the positions of the engines of a class, given those of the own failure
// domain, sorted. The caller does not change the slice afterwards.
func (c *Chooser) Positions(class Class, engines []ident.EndpointID) Positions {
	members := c.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.orders[class]
	if slices.Equal(last.members, members) && slices.Equal(last.engines, engines) {
		return last.positions
	}
	positions := make(Positions, Size)
	for n, id := range Order(c.Self, members, engines, Size) {
		positions[id] = n
	}
	if c.orders == nil {
		c.orders = make(map[Class]order)
	}
	c.orders[class] = order{members, engines, positions}
	return positions
}
