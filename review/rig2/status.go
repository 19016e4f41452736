package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"time"

	"monsoonfork/platform/wire"
)

// Figures of the case "status".
const (
	failShare  = 0.4 // x of the kind srv_grey: the share of its requests that a failing engine fails.
	statusTime = 20 * time.Second
)

// failingStatuses are statuses of failures in the range that HTTP gives them. Statuses are extensible:
// an HTTP server may use one that has no name in a registry.
var failingStatuses = []int{http.StatusInternalServerError, 520, 529, 460}

// playStatus has one of three engines fail a share of its requests, as its own answers say, and compares
// the status that each client gets with the one that the engine gave. With TROUBLE=0 no engine fails.
func playStatus(r *record, trouble bool) error {
	f, err := newFleet(r)
	if err != nil {
		return err
	}
	defer f.stop()
	for n, zone := range []string{"a", "b", "a"} {
		e, err := startPlain(f, fmt.Sprintf("i-%d", n+1), plainServiceName, zone)
		if err != nil {
			return err
		}
		if trouble && n == 0 {
			e.answer = failSome
		}
	}
	if err := f.store.Put(wire.ConfigKey, plainConfiguration(wire.KindAtMostOnce, 1)); err != nil {
		return err
	}
	if err := f.startInstances("a", "b"); err != nil {
		return err
	}
	c := newClient(r, f.instances[0].caller)
	for n, end := 0, time.Now().Add(statusTime); time.Now().Before(end); n++ {
		c.compare(fmt.Sprintf("%016x", n+1))
	}
	return nil
}

// failSome fails failShare of the requests, with each of failingStatuses as often as the others.
func failSome(id string) (status int, body string) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // Never fails.
	n := h.Sum32()
	if float64(n%1000)/1000 >= failShare {
		return http.StatusOK, "status 200"
	}
	status = failingStatuses[n/1000%uint32(len(failingStatuses))]
	return status, fmt.Sprintf("status %d", status)
}

// compare sends a request and compares the status of its answer with the one in the engine's body.
func (c *client) compare(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), bookingTimeout)
	defer cancel()
	r, err := c.request(ctx, http.MethodPost, "/book/x", id, bookingTimeout, "booking "+id)
	if err != nil {
		c.record.addf("%s: %v", id, err)
		return
	}
	response, err := c.http.Do(r)
	if err != nil {
		c.record.addf("%s gets no answer: %v", id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	seal := response.Header.Get(wire.HeaderSeal)
	c.record.addf("%s is answered %d with seal %q, body %q, %v", id, response.StatusCode, seal, body, err)
	given := 0
	if _, err := fmt.Sscanf(string(body), "status %d", &given); seal != "" && err == nil && given != response.StatusCode {
		c.record.breakf("MIXED: the answer to %s bears seal %q and status %d; the engine gave %d", id, seal, response.StatusCode, given)
	}
}
