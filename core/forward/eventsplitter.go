package forward

import (
	"bytes"
	"strings"
)

// eventSeparator is the blank line that ends an event of a stream.
var eventSeparator = []byte("\n\n")

// eventSplitter splits a stream of server-sent events into complete events. An engine may
// fail in the middle of an event; a partial event must not reach the caller, as the stream
// is then resumed at another engine after the last complete event.
type eventSplitter struct {
	partial []byte // Data after the last complete event.
	lastID  string // Id of the last complete event that has one.
}

// feed adds data of the stream and returns the events that are now complete.
func (s *eventSplitter) feed(data []byte) []byte {
	searched := max(0, len(s.partial)-len(eventSeparator)+1) // No separator begins before it.
	s.partial = append(s.partial, data...)
	end := bytes.LastIndex(s.partial[searched:], eventSeparator)
	if end < 0 {
		return nil
	}
	end += searched + len(eventSeparator)
	complete := s.partial[:end:end]
	s.partial = append([]byte(nil), s.partial[end:]...)
	if id, ok := lastEventID(complete); ok {
		s.lastID = id
	}
	return complete
}

// lastEventID returns the id of the last event that has one, and whether there is one.
func lastEventID(events []byte) (string, bool) {
	lines := bytes.Split(events, []byte("\n"))
	for i := len(lines) - 1; i >= 0; i-- {
		if value, ok := bytes.CutPrefix(lines[i], []byte("id:")); ok {
			return strings.TrimSpace(string(value)), true
		}
	}
	return "", false
}
