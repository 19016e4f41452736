package store

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// endBehaviour says what happens to the keys locked by a session when it ends.
type endBehaviour int

//go:generate stringer -type=endBehaviour -linecomment -output=session_string.go

// The values of the Consul API.
const (
	releaseKeys endBehaviour = iota // release
	deleteKeys                      // delete
)

// session is a lease under which keys are locked. It ends when it is destroyed or
// not renewed within its TTL.
type session struct {
	id           string
	name         string
	ttl          time.Duration
	lockDelay    time.Duration
	endBehaviour endBehaviour
	expiresAt    time.Time // Zero if the session has no TTL.
}

// sessionRequest is the body of PUT /v1/session/create.
type sessionRequest struct {
	Name         string `json:"Name"`
	TTL          string `json:"TTL"`
	EndBehaviour string `json:"Behavior"` //nolint:misspell // Name in the Consul API.
	LockDelay    string `json:"LockDelay"`
}

// sessionResponse is the response to PUT /v1/session/create and an element of the
// response to PUT /v1/session/renew.
type sessionResponse struct {
	ID   string `json:"ID"`
	Name string `json:"Name,omitempty"`
	TTL  string `json:"TTL,omitempty"`
}

// decodeSession returns a new session with the settings in a request body. An empty
// body gives a session without a TTL.
func decodeSession(body []byte, now time.Time) (*session, error) {
	var request sessionRequest
	if len(bytes.TrimSpace(body)) > 0 {
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, err
		}
	}
	s := &session{id: newSessionID(), name: request.Name}
	var err error
	if s.endBehaviour, err = decodeEndBehaviour(request.EndBehaviour); err != nil {
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

// decodeEndBehaviour returns the value with the given name; an empty name means
// release.
func decodeEndBehaviour(name string) (endBehaviour, error) {
	switch name {
	case "", releaseKeys.String():
		return releaseKeys, nil
	case deleteKeys.String():
		return deleteKeys, nil
	}
	return releaseKeys, fmt.Errorf("unknown session behaviour %q", name)
}

// decodeDuration parses a non-negative duration. An empty text means zero.
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

// renew extends the lease to its TTL from now.
func (s *session) renew(now time.Time) {
	if s.ttl > 0 {
		s.expiresAt = now.Add(s.ttl)
	}
}

// expired reports whether the TTL has passed without a renewal.
func (s *session) expired(now time.Time) bool {
	return !s.expiresAt.IsZero() && now.After(s.expiresAt)
}

// newSessionID returns a random id formatted as a UUID.
func newSessionID() string {
	b := make([]byte, 16)
	_, _ = rand.Read(b)
	return fmt.Sprintf("%x-%x-%x-%x-%x", b[0:4], b[4:6], b[6:8], b[8:10], b[10:16])
}

// endSession deletes a session. Its keys are released or deleted according to its
// end behaviour, and can't be locked again before its lock delay has passed.
func (k *keyspace) endSession(s *session, now time.Time) {
	delete(k.sessions, s.id)
	for key, e := range k.entries {
		if e.Session != s.id {
			continue
		}
		if s.lockDelay > 0 {
			k.lockDelayEnds[key] = now.Add(s.lockDelay)
		}
		if s.endBehaviour == deleteKeys {
			k.remove(key)
			continue
		}
		k.put(key, e.Value).Session = ""
	}
}

// expireSessions ends all expired sessions.
func (k *keyspace) expireSessions(now time.Time) {
	for _, s := range k.sessions {
		if s.expired(now) {
			k.endSession(s, now)
		}
	}
}
