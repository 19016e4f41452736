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

// Describe returns the description of the event.
func (e Event) Describe() Description { return descriptions[e] }

// ParseEvent returns the event whose text in the field msg is msg. If there is none, the
// error has kind NotFound.
func ParseEvent(msg string) (Event, error) {
	all := All()
	if i := slices.IndexFunc(all, func(e Event) bool { return e.String() == msg }); i >= 0 {
		return all[i], nil
	}
	return 0, fault.New(fault.NotFound, "no event %q", msg)
}

// WriteReference writes the description of all events, grouped by subsystem.
func WriteReference(w io.Writer) error {
	for p := Subsystem(0); p < subsysEnd; p++ {
		if _, err := fmt.Fprintln(w, p); err != nil {
			return err
		}
		for _, e := range All() {
			if descriptions[e].Subsystem != p {
				continue
			}
			if err := e.WriteReference(w); err != nil {
				return err
			}
		}
	}
	return nil
}

// WriteReference writes the description of the event.
func (e Event) WriteReference(w io.Writer) error {
	description := descriptions[e]
	entry := fmt.Sprintf("  %s\n    %s\n", e, description.Meaning)
	if len(description.Fields) > 0 {
		entry += fmt.Sprintf("    fields: %s\n", strings.Join(description.Fields, " "))
	}
	_, err := io.WriteString(w, entry)
	return err
}
