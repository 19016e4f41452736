package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"monsoonfork/platform/wire"
)

// Figures of the case "status". Those of the failing engine are at most as for the kind srv_grey in the
// site file: share 0.14, x 0.45, for_s 6.5.
const (
	statusEngines  = 8   // One of them fails: a share of 0.125.
	failShare      = 0.4 // The share of its requests that the failing engine fails.
	failTime       = 6500 * time.Millisecond
	quietTime      = 6 * time.Second // Between two times in which it fails.
	failTimes      = 3
	statusInterval = 10 * time.Millisecond // Between two requests.
)

// failingStatuses are statuses of failures in the range that HTTP gives them. Statuses are extensible:
// an HTTP server may use one that has no name in a registry.
var failingStatuses = []int{http.StatusInternalServerError, 520, 529, 460}

// playStatus has one of the engines fail a share of its requests, as its own answers say, and compares the
// status that each client gets with the one that the engine gave. With TROUBLE=0 no engine fails.
func playStatus(r *record, trouble bool) error {
	f, err := newFleet(r)
	if err != nil {
		return err
	}
	defer f.stop()
	var failing atomic.Bool
	for n := range statusEngines {
		e, err := startPlain(f, fmt.Sprintf("i-%d", n+1), plainServiceName, []string{"a", "b"}[n%2])
		if err != nil {
			return err
		}
		if n == 0 {
			e.answer = func(id string) (int, string) { return answerOf(id, failing.Load()) }
		}
	}
	if err := f.store.Put(wire.ConfigKey, plainConfiguration(wire.KindAtMostOnce, 1)); err != nil {
		return err
	}
	if err := f.startInstances("a", "b"); err != nil {
		return err
	}
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() { sendCompared(f, stop) })
	for range failTimes {
		time.Sleep(quietTime)
		failing.Store(trouble)
		time.Sleep(failTime)
		failing.Store(false)
	}
	close(stop)
	traffic.Wait()
	return nil
}

// sendCompared sends requests to the instances in turn until stop is closed, and waits for the answers.
func sendCompared(f *fleet, stop chan struct{}) {
	var clients []*client
	for _, i := range f.instances {
		clients = append(clients, newClient(f.record, i.caller))
	}
	var open sync.WaitGroup
	defer open.Wait()
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		open.Go(func() { clients[n%len(clients)].compare(fmt.Sprintf("%016x", n+1)) })
	}
}

// answerOf returns how a run ends. A failing engine fails failShare of the requests, with each of
// failingStatuses as often as the others.
func answerOf(id string, failing bool) (status int, body string) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // Never fails.
	n := h.Sum32()
	if !failing || float64(n%1000)/1000 >= failShare {
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
