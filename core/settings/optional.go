package settings

import (
	"fmt"
	"strconv"
	"time"

	"monsoonfork/core/strictyaml"
)

// Optional is a number that is 0 if its value is empty: the platform leaves out the values
// that a deployment does not have.
type Optional float64

// UnmarshalText decodes a number. An empty text is 0.
func (o *Optional) UnmarshalText(raw []byte) error {
	*o = 0
	if len(raw) == 0 {
		return nil
	}
	value, err := strconv.ParseFloat(string(raw), 64)
	if err != nil {
		return &strictyaml.ValueError{Message: fmt.Sprintf("%.60q is not a number", raw), Remedy: "write a number, or nothing"}
	}
	*o = Optional(value)
	return nil
}

// Milliseconds returns the duration of a number of milliseconds.
func (o Optional) Milliseconds() time.Duration {
	return time.Duration(float64(o) * float64(time.Millisecond))
}
