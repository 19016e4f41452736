package bench

import (
	"fmt"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// engineNames returns the names of a domain's engines of a role.
func engineNames(d DomainSize, role text.EngineRole) []ident.EndpointID {
	n, word := d.Prefills, "prefill"
	if role == text.Decode {
		n, word = d.Decodes, "decode"
	}
	var names []ident.EndpointID
	for i := range n {
		names = append(names, ident.EndpointID(fmt.Sprintf("%s-%s-%d", word, d.Name, i+1)))
	}
	return names
}

// textFor returns the configuration text of a workload whose engines serve at
// the given addresses.
func (w Workload) textFor(policy text.PlacementPolicy, addresses map[ident.EndpointID]ident.Address) *text.Text {
	t := &text.Text{
		Models: []text.Model{{
			Name: modelName, MinBytesPerToken: 1, BytesPerKVToken: bytesPerToken, MaxTokens: 32_000,
		}},
		Organisations: w.Organisations(),
		Policy:        text.Policy{Placement: policy},
	}
	for _, d := range w.Domains {
		t.Domains = append(t.Domains, d.Name)
		for _, role := range []text.EngineRole{text.Prefill, text.Decode} {
			for _, name := range engineNames(d, role) {
				t.Engines = append(t.Engines, engineText(d.Name, name, role, addresses[name]))
			}
		}
	}
	return t
}

// engineText returns the declaration of one engine.
func engineText(domain ident.DomainID, name ident.EndpointID, role text.EngineRole, address ident.Address) text.Engine {
	slots := decodeSlots
	if role == text.Prefill {
		slots = prefillSlots
	}
	return text.Engine{
		Name: name, Domain: domain, Address: address, Role: role, Models: []ident.ModelID{modelName},
		Slots: slots, MemoryPieces: memoryPieces, TokensPerPiece: tokensPerPiece,
		LinkBandwidth: linkBytes, PrefillRate: prefillRate,
	}
}
