package caller

import (
	"sync"
	"time"

	"github.com/lesismal/nbio"
)

// connShards is the number of shards of a connTable; each has its own lock.
const connShards = 16

// connTable holds the open connections, in shards by file descriptor.
type connTable struct {
	shards [connShards]connShard
}

// connShard holds the connections of one shard.
type connShard struct {
	mu    sync.Mutex
	conns map[*nbio.Conn]*conn
}

// shard returns the shard of a connection.
func (t *connTable) shard(nbc *nbio.Conn) *connShard {
	return &t.shards[nbc.Hash()%connShards]
}

func (t *connTable) add(nbc *nbio.Conn, c *conn) {
	s := t.shard(nbc)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil {
		s.conns = make(map[*nbio.Conn]*conn)
	}
	s.conns[nbc] = c
}

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

// each calls f for each connection without holding the locks of the table.
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

// countConns returns the number of open connections.
func (t *connTable) countConns() int {
	n := 0
	t.each(func(*conn) { n++ })
	return n
}

// hasRequests reports whether an open connection has a request whose response is not written
// yet, or is being read.
func (t *connTable) hasRequests() bool {
	found := false
	t.each(func(c *conn) {
		if c.isClosed() {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		found = found || c.activeRequests > 0 || c.reading
	})
	return found
}

// countActiveRequests returns the number of requests being read or handled, plus the
// number of connections with input that is not parsed yet, and of those with sent bytes that
// a slow caller has not acknowledged, as long as their closeDeadline has not passed.
func (t *connTable) countActiveRequests() int {
	n := 0
	now := time.Now()
	t.each(func(c *conn) {
		if c.isClosed() {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.requestDeadline.IsZero() {
			n++
		}
		n += c.activeRequests
		if !c.lastRequest && c.hasInput() {
			n++
		}
		if c.closeDeadline.After(now) && hasUnacked(c.nbc) {
			n++
		}
	})
	return n
}
