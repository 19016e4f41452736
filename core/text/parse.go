package text

import (
	"fmt"

	"monsoonfork/core/fault"
	"monsoonfork/core/strictyaml"
)

// MaxBytes is the maximum size of a text. The platform's store accepts values of
// up to one megabyte in encoded form, and the encoding takes a part of that.
const MaxBytes = 700_000

// Default values of optional fields, in the unit given by the field's name.
const (
	DefaultMinBytesPerToken = 1
	DefaultOrderTimeoutMS   = 10_000
	DefaultTimeoutMS        = 60_000
	DefaultFirstTokenMS     = 450
)

// Parse decodes and checks a text. It returns all problems at once. The text may
// be used only if there are none; it is nil if raw is too large or not YAML.
func Parse(raw []byte) (*Text, strictyaml.Problems) {
	if len(raw) > MaxBytes {
		return nil, strictyaml.Problems{{
			Message: fmt.Sprintf("the text has %d bytes", len(raw)),
			Remedy:  fmt.Sprintf("write at most %d, the limit of the store", MaxBytes),
		}}
	}
	t := &Text{}
	doc, found := strictyaml.Decode(raw, t)
	if doc.InvalidSyntax {
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

// ParseValid parses a text and returns an error of kind BadText that lists all
// problems, if there are any.
func ParseValid(raw []byte) (*Text, error) {
	t, problems := Parse(raw)
	if err := problems.Err(); err != nil {
		return nil, fault.Wrap(err, fault.BadText, "the text has %d problems", len(problems))
	}
	return t, nil
}

// setDefaults sets the default values of optional fields that were left out.
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

// setDefault sets *v to value if it is zero.
func setDefault[N ~int | ~int64](v *N, value N) {
	if *v == 0 {
		*v = value
	}
}
