package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"monsoonfork/platform/wire"
)

// Figures of the engines of a plain service.
const (
	plainSlots       = 6
	plainQueue       = 2 // Further requests that wait for a slot.
	healthPath       = "/healthz"
	plainConnections = 100
	plainWork        = 60 * time.Millisecond // As on the sheet of the large deployment.
)

// arrival is a request that reached an engine.
type arrival struct {
	id string
	at time.Time
}

// plainEngine is a stand-in of an engine of a plain service.
type plainEngine struct {
	fleet   *fleet
	id      string
	zone    string
	address string
	service string
	born    int64
	server  *http.Server
	answer  func(id string) (status int, body string) // How a run ends; nil for 200.

	mu       sync.Mutex
	leaving  bool // It says in all its answers that it leaves.
	arrivals []arrival
	running  map[string]bool
	slots    chan struct{} // Holds one element for each request that runs.
	waiting  int
}

// startPlain starts an engine and registers it as ready.
func startPlain(f *fleet, id, service, zone string) (*plainEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &plainEngine{fleet: f, id: id, zone: zone, address: listener.Addr().String(), service: service, born: time.Now().UnixMilli(), running: make(map[string]bool), slots: make(chan struct{}, plainSlots)}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	go func() { _ = e.server.Serve(listener) }()
	f.record.addf("engine %s of %s starts in zone %s", id, service, zone)
	return e, e.register()
}

// register writes the engine's entry.
func (e *plainEngine) register() error {
	return e.fleet.store.Put(wire.EngineKeyPrefix+e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": plainSlots, "state": wire.StateReady,
		"cold-remaining-ms": 0, "sequence": 1, "born": e.born,
	})
}

// leave removes the engine's entry. From now on all its answers say that it leaves.
func (e *plainEngine) leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.fleet.store.DeleteEngine(e.id)
}

// exit ends the engine. Requests that it still runs are broken off.
func (e *plainEngine) exit() {
	e.mu.Lock()
	for id := range e.running {
		e.fleet.record.addf("engine %s exits while it runs %s, which is lost: it may run once", e.id, id)
	}
	e.mu.Unlock()
	_ = e.server.Close()
	e.fleet.record.addf("engine %s has exited", e.id)
}

// ServeHTTP implements http.Handler.
func (e *plainEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderInstanceID, e.id)
	id := r.Header.Get(wire.HeaderRequestID)
	if id != "" {
		w.Header().Set(wire.HeaderRequestID, id)
	}
	if r.URL.Path == healthPath {
		e.answerHealth(w)
		return
	}
	if want := r.Header.Get(wire.HeaderExpectInstance); want != "" && want != e.id {
		e.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil || id == "" {
		e.refuse(w, http.StatusBadRequest)
		return
	}
	if !e.takeSlot() {
		e.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.slots }()
	e.run(w, id)
}

// run runs a request and answers it.
func (e *plainEngine) run(w http.ResponseWriter, id string) {
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{id, time.Now()})
	e.running[id] = true
	e.mu.Unlock()
	e.fleet.record.addf("engine %s runs %s", e.id, id)
	time.Sleep(plainWork)
	e.mu.Lock()
	delete(e.running, id)
	e.mu.Unlock()
	status, body := http.StatusOK, "status 200"
	if e.answer != nil {
		status, body = e.answer(id)
	}
	e.announce(w)
	w.Header().Set(wire.HeaderSeal, "seal-"+e.id)
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body) // A failure means that the router has closed the channel.
}

// takeSlot waits for a slot. It returns false if too many requests wait already.
func (e *plainEngine) takeSlot() bool {
	e.mu.Lock()
	if len(e.slots) == plainSlots && e.waiting >= plainQueue {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	e.slots <- struct{}{}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	return true
}

// announce adds to an answer that the engine leaves, if it does.
func (e *plainEngine) announce(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		w.Header().Set(wire.HeaderLeaving, wire.LeavingValue)
		w.Header().Set("Connection", "close")
	}
}

// refuse answers that a request was not run.
func (e *plainEngine) refuse(w http.ResponseWriter, status int) {
	e.announce(w)
	w.Header().Set(wire.HeaderNotExecuted, "1")
	w.WriteHeader(status)
}

// answerHealth answers a health probe: good until the engine leaves.
func (e *plainEngine) answerHealth(w http.ResponseWriter) {
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	e.announce(w)
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// seen returns the requests that have reached the engine.
func (e *plainEngine) seen() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}
