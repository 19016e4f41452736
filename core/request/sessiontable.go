package request

import (
	"hash/maphash"
	"sync"
	"time"

	"monsoonfork/core/ident"
)

// shardCount is the number of shards of the session table and the attempt table.
const shardCount = 16

var hashSeed = maphash.MakeSeed()

// shardOf returns the number of the shard that a key hashes to.
func shardOf(key string) int {
	return int(maphash.String(hashSeed, key) % shardCount)
}

// sessionTable holds the open requests.
type sessionTable struct {
	shards [shardCount]sessionShard
}

// sessionShard holds the requests whose ids hash to one shard of the table.
type sessionShard struct {
	mu       sync.Mutex
	sessions map[*Session]struct{}
}

// add adds a session.
func (r *sessionTable) add(s *Session) {
	shard := &r.shards[shardOf(string(s.ID))]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if shard.sessions == nil {
		shard.sessions = make(map[*Session]struct{})
	}
	shard.sessions[s] = struct{}{}
}

// remove removes a session.
func (r *sessionTable) remove(s *Session) {
	shard := &r.shards[shardOf(string(s.ID))]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	delete(shard.sessions, s)
}

// forEach calls f for each open session while the lock of its shard is held.
func (r *sessionTable) forEach(f func(*Session)) {
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
func (r *sessionTable) count() int {
	n := 0
	r.forEach(func(*Session) { n++ })
	return n
}

// SessionDump describes an open request to operators.
type SessionDump struct {
	Request      ident.RequestID
	Route        string
	Organisation ident.OrganisationID
	Key          ident.KeyID
	Received     time.Time
	Deadline     time.Time
	Sent         bool // A byte may have reached an engine or endpoint.
}

// dump returns descriptions of the open requests.
func (r *sessionTable) dump() []SessionDump {
	list := []SessionDump{}
	r.forEach(func(s *Session) {
		list = append(list, SessionDump{
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
