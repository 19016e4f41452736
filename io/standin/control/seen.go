package control

import (
	"bytes"
	"sync"
)

// seenLimit is the number of bytes that one stand-in keeps of what it got.
const seenLimit = 64 << 20

// Seen keeps every byte that came over the connections of a stand-in, so that
// checks can ask whether some text ever reached it.
type Seen struct {
	mu       sync.Mutex
	streams  []*bytes.Buffer
	size     int
	overflow bool
}

// SeenAnswer says whether a text was received.
type SeenAnswer struct {
	Seen     bool `json:"Seen"`
	Complete bool `json:"Complete"` // False when bytes beyond the limit were not kept.
	Bytes    int  `json:"Bytes"`    // Number of bytes searched.
}

// stream returns a buffer for a new connection.
func (s *Seen) stream() *bytes.Buffer {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &bytes.Buffer{}
	s.streams = append(s.streams, b)
	return b
}

// add appends data to the buffer of a connection.
func (s *Seen) add(b *bytes.Buffer, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.size+len(data) > seenLimit {
		s.overflow = true
		return
	}
	s.size += len(data)
	b.Write(data)
}

// Search reports whether text was received on any connection.
func (s *Seen) Search(text string) SeenAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := SeenAnswer{Complete: !s.overflow, Bytes: s.size}
	for _, b := range s.streams {
		if bytes.Contains(b.Bytes(), []byte(text)) {
			answer.Seen = true
			break
		}
	}
	return answer
}
