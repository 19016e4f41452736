package forward

import (
	"bytes"
	"strings"
)

// eventEnd ends an event of a stream.
var eventEnd = []byte("\n\n")

// splitter cuts a stream into whole events. An engine may stop in the middle of
// one, which must not reach the caller if the stream is to go on elsewhere.
type splitter struct {
	rest   []byte
	lastID string // Of the last whole event.
}

// feed takes a piece and returns the whole events that it completes.
func (s *splitter) feed(piece []byte) []byte {
	s.rest = append(s.rest, piece...)
	end := bytes.LastIndex(s.rest, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	whole := s.rest[:end:end]
	s.rest = append([]byte(nil), s.rest[end:]...)
	if id, ok := lastEventID(whole); ok {
		s.lastID = id
	}
	return whole
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) (string, bool) {
	lines := bytes.Split(events, []byte("\n"))
	for i := len(lines) - 1; i >= 0; i-- {
		if value, ok := bytes.CutPrefix(lines[i], []byte("id:")); ok {
			return strings.TrimSpace(string(value)), true
		}
	}
	return "", false
}
