package control

import (
	"bytes"
	"sync"
)

// captureLimitBytes is the number of received bytes that one stand-in keeps.
const captureLimitBytes = 64 << 20

// Capture keeps all bytes received on the connections of a stand-in, up to
// captureLimitBytes, so that tests can check whether a text ever reached it.
type Capture struct {
	mu       sync.Mutex
	streams  []*bytes.Buffer
	size     int
	overflow bool
}

// SearchResult is the result of Capture.Search and the response to GET
// /control/seen.
type SearchResult struct {
	Seen     bool `json:"Seen"`
	Complete bool `json:"Complete"` // False if some received bytes were discarded at the limit.
	Bytes    int  `json:"Bytes"`    // Number of bytes searched.
}

// newStream returns a buffer for the bytes received on a new connection.
func (c *Capture) newStream() *bytes.Buffer {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := &bytes.Buffer{}
	c.streams = append(c.streams, b)
	return b
}

// write appends data to the buffer of a connection, or discards it if the limit
// would be exceeded.
func (c *Capture) write(b *bytes.Buffer, data []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.size+len(data) > captureLimitBytes {
		c.overflow = true
		return
	}
	c.size += len(data)
	b.Write(data)
}

// Search reports whether text was received within one connection.
func (c *Capture) Search(text string) SearchResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := SearchResult{Complete: !c.overflow, Bytes: c.size}
	for _, b := range c.streams {
		if bytes.Contains(b.Bytes(), []byte(text)) {
			result.Seen = true
			break
		}
	}
	return result
}
