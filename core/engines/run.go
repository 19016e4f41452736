package engines

import "monsoonfork/core/ident"

// Run identifies one run of an engine, from its start to its end.
type Run struct {
	ID      ident.EndpointID
	Service ident.ServiceID
	Address ident.Address
	Domain  ident.DomainID
	Slots   int
	Started int64 // Start time in Unix milliseconds; 0 if unknown.
}

// Run returns the run that an entry describes.
func (e Entry) Run() Run {
	return Run{ID: e.ID, Service: e.Service, Address: e.Address, Domain: e.Domain, Slots: e.Slots, Started: e.Started}
}

// sameRun reports whether an entry describes the same run of the engine.
func (e *Engine) sameRun(other Entry) bool { return e.Run() == other.Run() }
