package engine

import "fmt"

// enum is an enum type with generated names.
type enum interface {
	~int
	fmt.Stringer
}

// decodeEnum sets target to the value from first to last that has the name
// text.
func decodeEnum[E enum](target *E, first, last E, text []byte) error {
	for candidate := first; candidate <= last; candidate++ {
		if candidate.String() == string(text) {
			*target = candidate
			return nil
		}
	}
	return fmt.Errorf("unknown name %q", text)
}
