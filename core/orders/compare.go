package orders

import (
	"slices"
	"strings"

	"monsoonfork/core/engineapi"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// difference is one respect in which an engine differs from the configuration
// text, and the order that resolves it.
type difference struct {
	kind    engineapi.OrderKind
	model   ident.ModelID
	version string
	adapter string
	role    string
}

// String returns the order's kind and arguments for logs and operators.
func (d difference) String() string {
	parts := []string{string(d.kind), string(d.model), d.version, d.adapter, d.role}
	return strings.Join(slices.DeleteFunc(parts, func(p string) bool { return p == "" }), " ")
}

// readsWeights reports whether the order makes the engine read from the weight
// store.
func (d difference) readsWeights() bool { return d.kind != engineapi.SetRole }

// differences compares what the configuration text declares for an engine with
// what the engine reports. Models and adapters come before the role, because a
// change of role may have to wait for a long time. Models and adapters that are
// loaded but not declared are not differences.
func differences(t *text.Text, e text.Engine, s engineapi.State) []difference {
	var found []difference
	index := t.Index()
	for _, name := range e.Models {
		if model, ok := index.Model(name); ok {
			found = append(found, modelDifferences(*model, s)...)
		}
	}
	if want := roleName(e.Role); want != s.Role {
		found = append(found, difference{kind: engineapi.SetRole, role: want})
	}
	return found
}

// modelDifferences compares one model. If the text declares no version, any
// version is accepted.
func modelDifferences(m text.Model, s engineapi.State) []difference {
	var found []difference
	at := slices.IndexFunc(s.Models, func(l engineapi.LoadedModel) bool { return l.Name == m.Name })
	var loaded engineapi.LoadedModel
	switch {
	case at < 0:
		found = append(found, difference{kind: engineapi.LoadModel, model: m.Name, version: m.Version})
	case m.Version != "" && s.Models[at].Version != m.Version:
		loaded = s.Models[at]
		found = append(found, difference{kind: engineapi.SetVersion, model: m.Name, version: m.Version})
	default:
		loaded = s.Models[at]
	}
	for _, adapter := range m.Adapters {
		if !slices.Contains(loaded.Adapters, adapter) {
			found = append(found, difference{kind: engineapi.LoadAdapter, model: m.Name, adapter: adapter})
		}
	}
	return found
}

// roleName returns the name of a role in the engines' protocol.
func roleName(r text.EngineRole) string {
	if r == text.Prefill {
		return "prefill"
	}
	return "decode"
}
