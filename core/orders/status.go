package orders

import (
	"slices"
	"strings"
	"time"

	"monsoonfork/core/ident"
)

// Status is what this instance knows of the orders of its domain. Engines is
// empty unless it is the controller.
type Status struct {
	Controller bool
	Fencing    ident.Epoch `json:",omitempty"`
	Deadline   time.Time   // No order leaves from this time on; zero without the lease.
	Engines    []EngineStatus
}

// EngineStatus is how far one engine is.
type EngineStatus struct {
	Engine   ident.EndpointID
	Phase    Phase
	Reason   string    `json:",omitempty"`
	AgreedAt time.Time // When it last agreed with the text.
	NextLook time.Time
}

// Status returns the state for operators.
func (c *Controller) Status() Status {
	g, holds := c.tenure.current()
	if !holds {
		return Status{Engines: []EngineStatus{}}
	}
	s := Status{Controller: true, Fencing: g.Fencing, Deadline: g.Deadline}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Engines = make([]EngineStatus, 0, len(c.engines))
	for name, e := range c.engines {
		s.Engines = append(s.Engines, EngineStatus{name, e.phase, e.reason, e.agreedAt, e.lookAt})
	}
	slices.SortFunc(s.Engines, func(a, b EngineStatus) int {
		return strings.Compare(string(a.Engine), string(b.Engine))
	})
	return s
}

// Differing returns the engines that do not agree with the text yet.
func (s Status) Differing() []EngineStatus {
	var list []EngineStatus
	for _, e := range s.Engines {
		if e.Phase != Agreed {
			list = append(list, e)
		}
	}
	return list
}
