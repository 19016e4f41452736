package text

import (
	"fmt"
	"strings"

	"monsoonfork/core/strictyaml"
)

// enum is a type whose values are numbered from 0 and have generated names.
type enum interface {
	~int
	fmt.Stringer
}

// parseEnum sets v to the value named word, among the values 0 to last.
func parseEnum[E enum](v *E, word string, last E) error {
	names := make([]string, 0, int(last)+1)
	for e := E(0); e <= last; e++ {
		if e.String() == word {
			*v = e
			return nil
		}
		names = append(names, e.String())
	}
	return &strictyaml.ValueError{
		Wrong: fmt.Sprintf("%q is not known here", word),
		Right: "write " + strings.Join(names, " or "),
	}
}

// UnmarshalText reads an engine role.
func (r *EngineRole) UnmarshalText(b []byte) error { return parseEnum(r, string(b), Decode) }

// MarshalText writes an engine role.
func (r EngineRole) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads an endpoint state.
func (s *EndpointState) UnmarshalText(b []byte) error { return parseEnum(s, string(b), Leaving) }

// MarshalText writes an endpoint state.
func (s EndpointState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads a service kind.
func (k *ServiceKind) UnmarshalText(b []byte) error { return parseEnum(k, string(b), PlainService) }

// MarshalText writes a service kind.
func (k ServiceKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads an access.
func (a *Access) UnmarshalText(b []byte) error { return parseEnum(a, string(b), Open) }

// MarshalText writes an access.
func (a Access) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText reads a priority.
func (p *Priority) UnmarshalText(b []byte) error { return parseEnum(p, string(b), High) }

// MarshalText writes a priority.
func (p Priority) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads a placement policy.
func (p *PlacementPolicy) UnmarshalText(b []byte) error { return parseEnum(p, string(b), TwoChoices) }

// MarshalText writes a placement policy.
func (p PlacementPolicy) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads the choice for keys in a cut-off domain.
func (c *CutOffKeys) UnmarshalText(b []byte) error { return parseEnum(c, string(b), RefuseKeyed) }

// MarshalText writes the choice for keys in a cut-off domain.
func (c CutOffKeys) MarshalText() ([]byte, error) { return []byte(c.String()), nil }
