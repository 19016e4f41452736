package orders

import (
	"slices"
	"strings"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
)

// difference is one thing in which an engine differs from the text, and the
// order that mends it.
type difference struct {
	kind    engine.OrderKind
	model   ident.ModelID
	version string
	adapter string
	role    string
}

// String names the order for logs and operators.
func (d difference) String() string {
	parts := []string{string(d.kind), string(d.model), d.version, d.adapter, d.role}
	return strings.Join(slices.DeleteFunc(parts, func(p string) bool { return p == "" }), " ")
}

// loads reports whether the order reads from the weight store.
func (d difference) loads() bool { return d.kind != engine.SetRole }

// differences compares what the text declares for an engine with what the
// engine reports. Models and adapters come before the role, which may have to
// wait for long. What an engine has loaded besides is no difference.
func differences(t *text.Text, e text.Engine, s engine.State) []difference {
	var found []difference
	index := t.Index()
	for _, name := range e.Models {
		if model, ok := index.Model(name); ok {
			found = append(found, modelDifferences(*model, s)...)
		}
	}
	if want := roleName(e.Role); want != s.Role {
		found = append(found, difference{kind: engine.SetRole, role: want})
	}
	return found
}

// modelDifferences compares one model. A text without a version takes any.
func modelDifferences(m text.Model, s engine.State) []difference {
	var found []difference
	at := slices.IndexFunc(s.Models, func(l engine.LoadedModel) bool { return l.Name == m.Name })
	var loaded engine.LoadedModel
	switch {
	case at < 0:
		found = append(found, difference{kind: engine.LoadModel, model: m.Name, version: m.Version})
	case m.Version != "" && s.Models[at].Version != m.Version:
		loaded = s.Models[at]
		found = append(found, difference{kind: engine.SetVersion, model: m.Name, version: m.Version})
	default:
		loaded = s.Models[at]
	}
	for _, adapter := range m.Adapters {
		if !slices.Contains(loaded.Adapters, adapter) {
			found = append(found, difference{kind: engine.LoadAdapter, model: m.Name, adapter: adapter})
		}
	}
	return found
}

// roleName returns a role as engines name it.
func roleName(r text.EngineRole) string {
	if r == text.Prefill {
		return "prefill"
	}
	return "decode"
}
