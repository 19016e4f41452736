package store

import (
	"net/http"
	"time"

	"monsoonfork/io/standin/control"
)

// handleCreate serves PUT /v1/session/create.
func (s *Store) handleCreate(w http.ResponseWriter, r *http.Request) {
	if !s.allowOrReject(w, r, SessionCreate) {
		return
	}
	body, ok := readValue(w, r)
	if !ok {
		return
	}
	created, err := decodeSession(body, time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.change(func(k *keyspace) { k.sessions[created.id] = created })
	control.WriteJSON(w, http.StatusOK, sessionResponse{ID: created.id})
}

// handleRenew serves PUT /v1/session/renew/{id}.
func (s *Store) handleRenew(w http.ResponseWriter, r *http.Request) {
	if !s.allowOrReject(w, r, SessionRenew) {
		return
	}
	id := r.PathValue("id")
	now := time.Now()
	var response []sessionResponse
	s.change(func(k *keyspace) {
		k.expireSessions(now)
		if renewed, ok := k.sessions[id]; ok {
			renewed.renew(now)
			response = append(response, sessionResponse{ID: id, Name: renewed.name, TTL: renewed.ttl.String()})
		}
	})
	if len(response) == 0 {
		http.Error(w, "session not found", http.StatusNotFound)
		return
	}
	control.WriteJSON(w, http.StatusOK, response)
}

// handleDestroy serves PUT /v1/session/destroy/{id}.
func (s *Store) handleDestroy(w http.ResponseWriter, r *http.Request) {
	if !s.allowOrReject(w, r, SessionDestroy) {
		return
	}
	id := r.PathValue("id")
	now := time.Now()
	s.change(func(k *keyspace) {
		if destroyed, ok := k.sessions[id]; ok {
			k.endSession(destroyed, now)
		}
	})
	control.WriteJSON(w, http.StatusOK, true)
}
