package orders

import (
	"slices"
	"strings"
	"time"

	"monsoonfork/core/ident"
)

// Status describes the domain's orders from the records of this instance. Engines
// is empty unless this instance is the controller.
type Status struct {
	Controller bool
	Fencing    ident.Epoch `json:",omitempty"`
	Deadline   time.Time   // No order is sent at or after this time; zero without the lease.
	Engines    []EngineStatus
}

// EngineStatus is the progress of one engine towards its declared state.
type EngineStatus struct {
	Engine        ident.EndpointID
	Phase         Phase
	Reason        string    `json:",omitempty"`
	AgreedAt      time.Time // When it last agreed with the configuration text.
	NextReconcile time.Time `json:"NextLook"`
}

// Status returns the current state for operators.
func (c *Controller) Status() Status {
	g, holds := c.leases.currentGrant()
	if !holds {
		return Status{Engines: []EngineStatus{}}
	}
	s := Status{Controller: true, Fencing: g.Fencing, Deadline: g.Deadline}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.Engines = make([]EngineStatus, 0, len(c.engines))
	for name, e := range c.engines {
		s.Engines = append(s.Engines, EngineStatus{name, e.phase, e.reason, e.agreedAt, e.dueAt})
	}
	slices.SortFunc(s.Engines, func(a, b EngineStatus) int {
		return strings.Compare(string(a.Engine), string(b.Engine))
	})
	return s
}

// Differing returns the engines that do not agree with the configuration text.
func (s Status) Differing() []EngineStatus {
	var list []EngineStatus
	for _, e := range s.Engines {
		if e.Phase != Agreed {
			list = append(list, e)
		}
	}
	return list
}
