package store

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// atEnd says what happens to the keys that a session held when it ends.
type atEnd int

//go:generate stringer -type=atEnd -linecomment -output=session_string.go

// The values of the published API.
const (
	releaseKeys atEnd = iota // release
	deleteKeys               // delete
)

// session is a lease.
type session struct {
	id        string
	name      string
	ttl       time.Duration
	lockDelay time.Duration
	atEnd     atEnd
	expires   time.Time // Zero when the session has no TTL.
}

// sessionRequest is the body of PUT /v1/session/create.
type sessionRequest struct {
	Name      string `json:"Name"`
	TTL       string `json:"TTL"`
	AtEnd     string `json:"Behavior"` //nolint:misspell // The name in the published API.
	LockDelay string `json:"LockDelay"`
}

// sessionAnswer is the answer to PUT /v1/session/create and an element of the
// answer to PUT /v1/session/renew.
type sessionAnswer struct {
	ID   string `json:"ID"`
	Name string `json:"Name,omitempty"`
	TTL  string `json:"TTL,omitempty"`
}

// decodeSession returns the session that a body asks for. An empty body asks
// for a session without a TTL.
func decodeSession(body []byte, now time.Time) (*session, error) {
	var request sessionRequest
	if len(bytes.TrimSpace(body)) > 0 {
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, err
		}
	}
	s := &session{id: newSessionID(), name: request.Name}
	var err error
	if s.atEnd, err = decodeAtEnd(request.AtEnd); err != nil {
		return nil, err
	}
	if s.ttl, err = decodeDuration(request.TTL); err != nil {
		return nil, err
	}
	if s.lockDelay, err = decodeDuration(request.LockDelay); err != nil {
		return nil, err
	}
	s.renew(now)
	return s, nil
}

// decodeAtEnd returns the value with the given name; release is the default.
func decodeAtEnd(name string) (atEnd, error) {
	switch name {
	case "", releaseKeys.String():
		return releaseKeys, nil
	case deleteKeys.String():
		return deleteKeys, nil
	}
	return releaseKeys, fmt.Errorf("unknown end of session %q", name)
}

// decodeDuration returns a duration that is not negative; empty means zero.
func decodeDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err == nil && d < 0 {
		err = errors.New("negative duration")
	}
	return d, err
}

// renew sets the end of the lease anew.
func (s *session) renew(now time.Time) {
	if s.ttl > 0 {
		s.expires = now.Add(s.ttl)
	}
}

// lapsed reports whether the lease has ended.
func (s *session) lapsed(now time.Time) bool {
	return !s.expires.IsZero() && now.After(s.expires)
}

// newSessionID returns a random id in the form of a UUID.
func newSessionID() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b)
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[0:4], b[4:6], b[6:8], b[8:10], b[10:16])
}

// end destroys a session: its keys are released or deleted.
func (k *keyspace) end(s *session, now time.Time) {
	delete(k.sessions, s.id)
	for key, e := range k.entries {
		if e.Session != s.id {
			continue
		}
		if s.lockDelay > 0 {
			k.delayed[key] = now.Add(s.lockDelay)
		}
		if s.atEnd == deleteKeys {
			k.remove(key)
			continue
		}
		k.put(key, e.Value).Session = ""
	}
}

// expire ends all sessions that have lapsed.
func (k *keyspace) expire(now time.Time) {
	for _, s := range k.sessions {
		if s.lapsed(now) {
			k.end(s, now)
		}
	}
}
