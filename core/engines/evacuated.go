package engines

import (
	"maps"
	"slices"

	"monsoonfork/core/ident"
)

// SetEvacuated sets the failure domains whose engines get no new requests. It replaces the
// previous ones, and also holds for engines that are listed later. It returns the domains that
// were not evacuated before, and those that no longer are. The engines of the latter count as
// cold, since they may have become so meanwhile.
func (t *Table) SetEvacuated(domains []ident.DomainID) (begun, ended []ident.DomainID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.evacuated
	t.evacuated = make(map[ident.DomainID]bool, len(domains))
	for _, domain := range domains {
		t.evacuated[domain] = true
	}
	for _, e := range t.engines {
		if previous[e.Domain] && !t.evacuated[e.Domain] {
			e.coolFor(t.coldness.startTime(e.Service))
		}
		e.setEvacuated(t.evacuated[e.Domain])
	}
	return missingFrom(previous, t.evacuated), missingFrom(t.evacuated, previous)
}

// missingFrom returns the domains of a set that another one does not have, sorted.
func missingFrom(other, set map[ident.DomainID]bool) []ident.DomainID {
	missing := slices.Sorted(maps.Keys(set))
	return slices.DeleteFunc(missing, func(domain ident.DomainID) bool { return other[domain] })
}

// IsEvacuated reports whether the failure domain of an engine is evacuated.
func (t *Table) IsEvacuated(e Entry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evacuated[e.Domain]
}

// setEvacuated sets whether the engine's failure domain is evacuated.
func (e *Engine) setEvacuated(evacuated bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evacuated = evacuated
}

// IsEvacuated reports whether the engine's failure domain is evacuated.
func (e *Engine) IsEvacuated() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.evacuated
}
