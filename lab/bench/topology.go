package bench

import (
	"fmt"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// engineNames returns the names of the engines with the given role in a failure
// domain.
func engineNames(d DomainSize, role text.EngineRole) []ident.EndpointID {
	n, prefix := d.PrefillEngines, "prefill"
	if role == text.Decode {
		n, prefix = d.DecodeEngines, "decode"
	}
	var names []ident.EndpointID
	for i := range n {
		names = append(names, ident.EndpointID(fmt.Sprintf("%s-%s-%d", prefix, d.Name, i+1)))
	}
	return names
}

// configText returns the configuration of a workload whose engines listen at the
// given addresses.
func (w Workload) configText(policy text.PlacementPolicy, addresses map[ident.EndpointID]ident.Address) *text.Text {
	t := &text.Text{
		Models: []text.Model{{
			Name: modelName, MinBytesPerToken: 1, BytesPerKVToken: kvBytesPerToken, MaxTokens: 32_000,
		}},
		Organisations: w.Organisations(),
		Policy:        text.Policy{Placement: policy},
	}
	for _, d := range w.Domains {
		t.Domains = append(t.Domains, d.Name)
		for _, role := range []text.EngineRole{text.Prefill, text.Decode} {
			for _, name := range engineNames(d, role) {
				t.Engines = append(t.Engines, engineConfig(d.Name, name, role, addresses[name]))
			}
		}
	}
	return t
}

// engineConfig returns the configuration of one engine.
func engineConfig(domain ident.DomainID, name ident.EndpointID, role text.EngineRole, address ident.Address) text.Engine {
	slots := decodeSlots
	if role == text.Prefill {
		slots = prefillSlots
	}
	return text.Engine{
		Name: name, Domain: domain, Address: address, Role: role, Models: []ident.ModelID{modelName},
		Slots: slots, MemoryPieces: memoryPieces, TokensPerPiece: tokensPerPiece,
		LinkBandwidth: linkBandwidth, PrefillRate: prefillRate,
	}
}
