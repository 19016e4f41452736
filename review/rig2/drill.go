package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"monsoonfork/platform/standin"
	"monsoonfork/platform/wire"
)

// Times of the case "drill".
const (
	drills           = 5
	bookingsPerSec   = 100 // As on the sheet of the grown deployment.
	bookingTimeout   = 1500 * time.Millisecond
	copyBefore       = 1500 * time.Millisecond // The copy is so much older than the removal of the engine.
	awayAfter        = 1700 * time.Millisecond // From the removal until the store is away.
	awayTime         = 800 * time.Millisecond  // The store is away for a moment.
	heartbeat        = 1200 * time.Millisecond // heartbeat-ms: within it the engines have written again what was lost.
	servesOn         = 3500 * time.Millisecond // The engine that has left serves for drain-ms and a little longer, at least this.
	servesLonger     = 20 * time.Millisecond   // The engine of each drill serves so much longer than the one before.
	betweenDrills    = 4 * time.Second
	plainServiceName = "orders"
)

// plainConfiguration returns the operator's configuration with one plain service.
func plainConfiguration(kind string, attempts int) map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-book", "host": host, "prefix": "/book/", "kind": kind, "timeout-ms": bookingTimeout.Milliseconds(), "target-latency-ms": 300,
			"priority": 2, "service": plainServiceName, "attempts": attempts, "public": false, "sticky": false, "can-resume": false,
		}},
		"services": []any{map[string]any{"name": plainServiceName, "health-path": healthPath, "max-connections": plainConnections, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "one", "api-keys": []any{"key-one"}, "priority": 1, "unit": "token_stream", "plain-tokens": 200, "rate-per-s": 0, "burst": 0}},
	}
}

// bookings is the traffic of requests that may run once.
type bookings struct {
	fleet *fleet
	stop  chan struct{}
	open  sync.WaitGroup

	mu     sync.Mutex
	sent   map[string]booking
	passed map[passedKey]time.Time
}

// passedKey is an instance and an engine of which it has passed on an answer that says that the engine
// leaves.
type passedKey struct{ instance, engine string }

// booking is one request.
type booking struct {
	instance string
	at       time.Time // When the client sent it.
}

// startBookings begins to send requests to the instances in turn.
func startBookings(f *fleet) *bookings {
	b := &bookings{fleet: f, stop: make(chan struct{}), sent: make(map[string]booking), passed: make(map[passedKey]time.Time)}
	b.open.Go(b.run)
	return b
}

// run sends requests until stop is closed.
func (b *bookings) run() {
	var clients []*client
	for _, i := range b.fleet.instances {
		clients = append(clients, newClient(b.fleet.record, i.caller))
	}
	ticker := time.NewTicker(time.Second / bookingsPerSec)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-b.stop:
			return
		case <-ticker.C:
		}
		c, i, id := clients[n%len(clients)], b.fleet.instances[n%len(clients)], fmt.Sprintf("%016x", n+1)
		b.mu.Lock()
		b.sent[id] = booking{i.name, time.Now()}
		b.mu.Unlock()
		b.open.Go(func() { b.book(c, id, i.name) })
	}
}

// end stops the traffic and waits for the last answers.
func (b *bookings) end() {
	close(b.stop)
	b.open.Wait()
}

// of returns a request by its id.
func (b *bookings) of(id string) booking {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sent[id]
}

// passedAt returns when an instance first passed on an answer that says that an engine leaves; zero if
// it has not.
func (b *bookings) passedAt(instance, engine string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.passed[passedKey{instance, engine}]
}

// book sends one request and records its answer.
func (b *bookings) book(c *client, id, instance string) {
	ctx, cancel := context.WithTimeout(context.Background(), bookingTimeout)
	defer cancel()
	r, err := c.request(ctx, http.MethodPost, "/book/x", id, bookingTimeout, "booking "+id)
	if err != nil {
		c.record.addf("%s: %v", id, err)
		return
	}
	response, err := c.http.Do(r)
	if err != nil {
		c.record.addf("%s to %s gets no answer: %v", id, instance, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if engine := response.Header.Get(wire.HeaderInstanceID); response.Header.Get(wire.HeaderLeaving) == wire.LeavingValue {
		b.mu.Lock()
		if key := (passedKey{instance, engine}); b.passed[key].IsZero() {
			b.passed[key] = time.Now()
			c.record.addf("%s passes on an answer in which %s says that it leaves", instance, engine)
		}
		b.mu.Unlock()
	}
	body, err := io.ReadAll(response.Body)
	c.record.addf("%s to %s is answered %d %q %v", id, instance, response.StatusCode, strings.TrimSpace(string(body)), err)
}

// playDrill has engines leave without reporting that they drain, as some do: their entries are removed
// and they serve on for some seconds. With trouble the store is away for a moment after each removal
// and comes back from a copy some seconds old, which still has the entry; the removal is written again
// within the time between two heartbeats. Once a machine has passed on an answer in which the engine
// says that it leaves, no request that a client sends it later than drain-ms after that may reach the
// engine.
func playDrill(r *record, trouble bool) error {
	f, err := newFleet(r)
	if err != nil {
		return err
	}
	defer f.stop()
	for n, zone := range []string{"a", "b", "a"} {
		if _, err := startPlain(f, fmt.Sprintf("i-stays-%d", n+1), plainServiceName, zone); err != nil {
			return err
		}
	}
	if err := f.store.Put(wire.ConfigKey, plainConfiguration(wire.KindAtMostOnce, 1)); err != nil {
		return err
	}
	if err := f.startInstances("a", "b"); err != nil {
		return err
	}
	r.addf("all instances are ready")
	b := startBookings(f)
	time.Sleep(5 * time.Second)
	for n := range drills {
		if err := leave(f, b, n, trouble); err != nil {
			return err
		}
	}
	b.end()
	return nil
}

// leave starts an engine, has it leave and plays one drill.
func leave(f *fleet, b *bookings, n int, trouble bool) error {
	e, err := startPlain(f, fmt.Sprintf("i-leaves-%d", n+1), plainServiceName, []string{"a", "b"}[n%2])
	if err != nil {
		return err
	}
	time.Sleep(betweenDrills)
	f.store.SaveCopy()
	time.Sleep(copyBefore)
	e.leave()
	removed := time.Now()
	f.record.addf("the entry of %s is removed; it serves on for %v and says in its answers that it leaves", e.id, servesOn+time.Duration(n)*servesLonger)
	exits := removed.Add(servesOn + time.Duration(n)*servesLonger)
	exited := make(chan struct{})
	go func() {
		time.Sleep(time.Until(exits))
		e.exit()
		close(exited)
	}()
	time.Sleep(awayAfter)
	if trouble {
		f.store.SetFault(standin.StoreUnresponsive)
		f.record.addf("the store is away")
		time.Sleep(awayTime)
		f.store.Restore()
		f.store.SetFault(standin.NoFault)
		f.record.addf("the store is back from a copy that is %v old", copyBefore+awayAfter+awayTime)
		time.Sleep(heartbeat)
		f.store.DeleteEngine(e.id)
		f.record.addf("the removal of %s is written again", e.id)
	}
	<-exited
	for _, a := range e.seen() {
		by := b.of(a.id)
		passed, learned := b.passedAt(by.instance, e.id), f.learnedAt(by.instance, e.id)
		if late := by.at.Sub(passed); !passed.IsZero() && late > drainMS*time.Millisecond {
			f.record.breakf("DRAIN: request %s was sent %v after %s had passed on an answer in which %s said that it leaves (and %v after the store had told it of the removal), and reached %s",
				a.id, late.Round(time.Millisecond), by.instance, e.id, by.at.Sub(learned).Round(time.Millisecond), e.id)
		}
	}
	return nil
}
