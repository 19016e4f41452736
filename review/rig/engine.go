package rig

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// workTime is how long an engine of the plain service works on a request.
const workTime = 5 * time.Millisecond

// Engine is an engine of a plain service. It serves soundly until its stand-in is closed.
type Engine struct {
	ID, Service, Zone, Address string

	rig  *Rig
	born int64

	mu       sync.Mutex
	arrivals []Arrival
}

// Arrival is a request that has reached an engine.
type Arrival struct {
	Request string
	At      time.Time
}

// AddEngine starts an engine and registers it in the store.
func (r *Rig) AddEngine(id, service, zone string) (*Engine, error) {
	e := &Engine{ID: id, Service: service, Zone: zone, rig: r, born: time.Now().UnixMilli()}
	var err error
	if e.Address, err = r.Serve(e); err != nil {
		return nil, err
	}
	return e, e.register("ready")
}

// register writes the entry of the engine.
func (e *Engine) register(state string) error {
	return e.rig.Store.Put("servers/"+e.ID, map[string]any{
		"service": e.Service, "address": e.Address, "zone": e.Zone, "version": "1", "slots": 6, "state": state,
		"cold-remaining-ms": 0, "sequence": 1, "born": e.born,
	})
}

// Leave removes the entry of the engine, which goes on serving, and returns when the store has
// accepted that.
func (e *Engine) Leave() time.Time {
	e.rig.Store.DeleteEngine(e.ID)
	at := time.Now()
	e.rig.Record.Add("store: entry removed", "engine", e.ID)
	return at
}

// Arrivals returns the requests that have reached the engine.
func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Arrival(nil), e.arrivals...)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Instance-Id", e.ID)
	if id != "" {
		w.Header().Set("X-Request-Id", id)
	}
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, Arrival{id, time.Now()})
	e.mu.Unlock()
	body, _ := io.ReadAll(q.Body) // The request is answered by what was read.
	e.rig.Record.Add("runs", "engine", e.ID, "request", id, "tenant", q.Header.Get("X-Tenant-Id"), "bytes", len(body))
	time.Sleep(workTime)
	answer := fmt.Sprintf("%s by %s", id, e.ID)
	w.Header().Set("X-Server-Seal", "seal-"+e.ID)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer) // A failed write is the caller's to see.
}
