package engines

import "monsoonfork/core/ident"

// Run identifies one run of an engine: its process, from its start to its end.
type Run struct {
	ID      ident.EndpointID
	Address ident.Address
	Started int64 // Start time in Unix milliseconds; 0 if unknown.
}

// Run returns the run that an entry describes.
func (e Entry) Run() Run { return Run{ID: e.ID, Address: e.Address, Started: e.Started} }

// sameRun reports whether an entry describes the same run of the engine, with the same fixed fields.
func (e *Engine) sameRun(other Entry) bool {
	return e.Run() == other.Run() && e.Service == other.Service && e.Domain == other.Domain && e.Slots == other.Slots
}
