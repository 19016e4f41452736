package request

import (
	"hash/maphash"
	"sync"
	"time"

	"monsoonfork/core/ident"
)

// shardCount is the number of shards of the tables in this package.
const shardCount = 16

var hashSeed = maphash.MakeSeed()

// shardOf returns the shard of a key.
func shardOf(key string) int {
	return int(maphash.String(hashSeed, key) % shardCount)
}

// running is the table of open requests.
type running struct {
	shards [shardCount]runningShard
}

// runningShard is a part of the table, by request id.
type runningShard struct {
	mu       sync.Mutex
	sessions map[*Session]struct{}
}

// add enters a session.
func (r *running) add(s *Session) {
	shard := &r.shards[shardOf(string(s.ID))]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.sessions == nil {
		shard.sessions = make(map[*Session]struct{})
	}
	shard.sessions[s] = struct{}{}
}

// remove takes a session out.
func (r *running) remove(s *Session) {
	shard := &r.shards[shardOf(string(s.ID))]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.sessions, s)
}

// each calls f for each open session.
func (r *running) each(f func(*Session)) {
	for i := range r.shards {
		shard := &r.shards[i]
		shard.mu.Lock()
		for s := range shard.sessions {
			f(s)
		}
		shard.mu.Unlock()
	}
}

// count returns the number of open sessions.
func (r *running) count() int {
	n := 0
	r.each(func(*Session) { n++ })
	return n
}

// RunningDump is an open request as operators see it.
type RunningDump struct {
	Request      ident.RequestID
	Route        string
	Organisation ident.OrganisationID
	Key          ident.KeyID
	Received     time.Time
	Deadline     time.Time
	Sent         bool // A byte may have reached an endpoint.
}

// dump lists the open requests.
func (r *running) dump() []RunningDump {
	list := []RunningDump{}
	r.each(func(s *Session) {
		list = append(list, RunningDump{
			Request:      s.ID,
			Route:        s.Route.Name,
			Organisation: s.Identity.Organisation,
			Key:          s.Identity.Key,
			Received:     s.Received,
			Deadline:     s.Deadline,
			Sent:         s.sent.Load(),
		})
	})
	return list
}
