package forward

import (
	"bytes"
	"strings"
)

// eventSeparators are the blank lines that end an event of a stream, with the end of the line
// before.
var eventSeparators = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// maxSeparatorBytes is the length of the longest of eventSeparators.
const maxSeparatorBytes = 3

// LastEventEnd returns the index after the last event that ends in data, or -1.
func LastEventEnd(data []byte) int {
	last := -1
	for _, separator := range eventSeparators {
		if i := bytes.LastIndex(data, separator); i >= 0 {
			last = max(last, i+len(separator))
		}
	}
	return last
}

// eventSplitter splits a stream of server-sent events into complete events. An engine may
// fail in the middle of an event; a partial event must not reach the caller, as the stream
// is then resumed at another engine after the last complete event.
type eventSplitter struct {
	partial []byte // Data after the last complete event.
	lastID  string // Id of the last complete event that has one.

	lastEnd func(data []byte) int // Searches for the end of an event; nil means LastEventEnd.
}

// feed adds data of the stream and returns the events that are now complete.
func (s *eventSplitter) feed(data []byte) []byte {
	searched := max(0, len(s.partial)-maxSeparatorBytes+1) // No separator begins before it.
	s.partial = append(s.partial, data...)
	end := s.findLastEnd(s.partial[searched:])
	if end < 0 {
		return nil
	}
	end += searched
	complete := s.partial[:end:end]
	s.partial = append([]byte(nil), s.partial[end:]...)
	if id, ok := lastEventID(complete); ok {
		s.lastID = id
	}
	return complete
}

// findLastEnd returns the index after the last event that ends in data, or -1.
func (s *eventSplitter) findLastEnd(data []byte) int {
	if s.lastEnd != nil {
		return s.lastEnd(data)
	}
	return LastEventEnd(data)
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

// isInsideEvent reports whether the stream would end inside an event if no more data came.
func (s *eventSplitter) isInsideEvent() bool { return hasEventLine(s.partial) }

// completesEvent reports whether data, which has not been fed, completes an event.
func (s *eventSplitter) completesEvent(data []byte) bool {
	joined := data
	if len(s.partial) > 0 {
		tail := s.partial[max(0, len(s.partial)-maxSeparatorBytes+1):]
		if LastEventEnd(append(bytes.Clone(tail), data...)) < 0 {
			return false
		}
		joined = append(bytes.Clone(s.partial), data...)
	}
	end := LastEventEnd(joined)
	return end >= 0 && hasEventLine(joined[:end])
}

// hasEventLine reports whether data has a line of an event. Blank lines and comments are no part
// of an event.
func hasEventLine(data []byte) bool {
	for line := range bytes.Lines(data) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}
