package event

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"monsoonfork/core/fault"
)

// All returns all events, in the order of the reference.
func All() []Event {
	all := make([]Event, 0, eventCount)
	for e := Event(0); e < eventCount; e++ {
		all = append(all, e)
	}
	return all
}

// Describe returns what an event means.
func (e Event) Describe() Description { return table[e] }

// Named returns the event whose lines have this text in their field msg. The error
// has kind NotFound.
func Named(msg string) (Event, error) {
	all := All()
	if i := slices.IndexFunc(all, func(e Event) bool { return e.String() == msg }); i >= 0 {
		return all[i], nil
	}
	return 0, fault.New(fault.NotFound, "no event %q", msg)
}

// WriteReference writes what each event means, by part.
func WriteReference(w io.Writer) error {
	for p := Part(0); p < partCount; p++ {
		if _, err := fmt.Fprintln(w, p); err != nil {
			return err
		}
		for _, e := range All() {
			if table[e].Part != p {
				continue
			}
			if err := e.WriteReference(w); err != nil {
				return err
			}
		}
	}
	return nil
}

// WriteReference writes what the event means.
func (e Event) WriteReference(w io.Writer) error {
	d := table[e]
	text := fmt.Sprintf("  %s\n    %s\n", e, d.Says)
	if len(d.Fields) > 0 {
		text += fmt.Sprintf("    fields: %s\n", strings.Join(d.Fields, " "))
	}
	_, err := io.WriteString(w, text)
	return err
}
