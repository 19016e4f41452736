package caller

import (
	"sync"
	"time"

	"github.com/lesismal/nbio"
)

// connShards is the number of shards of the table of connections.
const connShards = 16

// connTable holds the open connections, in shards by file descriptor.
type connTable struct {
	shards [connShards]connShard
}

// connShard is a part of the table.
type connShard struct {
	mu    sync.Mutex
	conns map[*nbio.Conn]*conn
}

// shard returns the shard of a connection.
func (t *connTable) shard(nbc *nbio.Conn) *connShard {
	return &t.shards[nbc.Hash()%connShards]
}

// add enters a connection.
func (t *connTable) add(nbc *nbio.Conn, c *conn) {
	s := t.shard(nbc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*nbio.Conn]*conn)
	}
	s.conns[nbc] = c
}

// remove takes a connection out.
func (t *connTable) remove(nbc *nbio.Conn) {
	s := t.shard(nbc)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, nbc)
}

// get returns the state of a connection, or nil.
func (t *connTable) get(nbc *nbio.Conn) *conn {
	s := t.shard(nbc)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[nbc]
}

// each calls f for each connection, outside the locks of the table.
func (t *connTable) each(f func(*conn)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		list := make([]*conn, 0, len(s.conns))
		for _, c := range s.conns {
			list = append(list, c)
		}
		s.mu.Unlock()
		for _, c := range list {
			f(c)
		}
	}
}

// count returns the number of connections.
func (t *connTable) count() int {
	n := 0
	t.each(func(*conn) { n++ })
	return n
}

// busy returns the number of requests that are being read or answered, with
// those whose answers wait for slow callers.
func (t *connTable) busy() int {
	n := 0
	now := time.Now()
	t.each(func(c *conn) {
		if c.gone() {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.requestBy.IsZero() {
			n++
		}
		n += c.handling
		if c.closeBy.After(now) && unsent(c.nbc) {
			n++
		}
	})
	return n
}
