package fleet

import (
	"testing"

	"monsoonfork/core/ident"
	"monsoonfork/io/standin/engine"
	"monsoonfork/lab/workload"
)

func TestConfigIsValid(t *testing.T) {
	for _, w := range workload.All() {
		f := &Fleet{Spec: Spec{Workload: w}, Keys: make(map[ident.OrganisationID]string)}
		for i, role := range []engine.Role{engine.PrefillRole, engine.DecodeRole} {
			s := &StandIn{Name: role.String(), Domain: f.Spec.domain(i), Address: "127.0.0.1:900" + string(rune('1'+i))}
			f.Engines = append(f.Engines, Engine{StandIn: s, Role: role})
		}
		f.Services = append(f.Services, &StandIn{Name: "planning-1", Domain: f.Spec.domain(0), Address: "127.0.0.1:9101"})
		if _, err := Encode(f.newConfig()); err != nil {
			t.Errorf("%s: encode the configuration text: %v", w.Name, err)
		}
		if len(f.Keys) != len(w.Organisations) {
			t.Errorf("%s: %d API keys, want one for each organisation", w.Name, len(f.Keys))
		}
	}
}
