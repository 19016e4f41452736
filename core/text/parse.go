package text

import (
	"fmt"

	"monsoonfork/core/fault"
	"monsoonfork/core/strictyaml"
)

// MaxBytes is the largest text: the platform's service holds values up to a
// megabyte, of which the envelope's own encoding takes a part.
const MaxBytes = 700_000

// Defaults of fields that a text leaves out, in the unit of the field's name.
const (
	DefaultMinBytesPerToken = 1
	DefaultOrderTimeoutMS   = 10_000
	DefaultTimeoutMS        = 60_000
	DefaultFirstTokenMS     = 450
)

// Parse reads a text. It returns all problems at once; the text may be used
// only when there are none, and is nil when raw is not YAML.
func Parse(raw []byte) (*Text, strictyaml.Problems) {
	if len(raw) > MaxBytes {
		return nil, strictyaml.Problems{{
			Wrong: fmt.Sprintf("the text has %d bytes", len(raw)),
			Right: fmt.Sprintf("at most %d fit into the store", MaxBytes),
		}}
	}
	t := &Text{}
	doc, found := strictyaml.Decode(raw, t)
	if doc.Unreadable {
		return nil, found
	}
	t.setDefaults()
	c := &checker{Checker: strictyaml.NewChecker(doc, found), text: t}
	c.checkAll()
	problems := c.Problems()
	if len(problems) == 0 {
		t.index = NewIndex(t)
	}
	return t, problems
}

// ParseValid reads a text that must have no problems. Errors have kind
// BadText and list them.
func ParseValid(raw []byte) (*Text, error) {
	t, problems := Parse(raw)
	if err := problems.Err(); err != nil {
		return nil, fault.Wrap(err, fault.BadText, "the text has %d problems", len(problems))
	}
	return t, nil
}

// setDefaults fills in optional fields that were left out.
func (t *Text) setDefaults() {
	for i := range t.Models {
		setDefault(&t.Models[i].MinBytesPerToken, DefaultMinBytesPerToken)
	}
	for i := range t.Engines {
		setDefault(&t.Engines[i].OrderTimeoutMS, DefaultOrderTimeoutMS)
	}
	for i := range t.Routes {
		setDefault(&t.Routes[i].TimeoutMS, DefaultTimeoutMS)
		setDefault(&t.Routes[i].FirstTokenMS, min(DefaultFirstTokenMS, t.Routes[i].TimeoutMS))
	}
}

// setDefault gives *v the value when it is zero.
func setDefault[N ~int | ~int64](v *N, value N) {
	if *v == 0 {
		*v = value
	}
}
