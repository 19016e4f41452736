package platformsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"monsoonfork/platform/standin"
)

// The mix of requests.
const (
	streamShare           = 0.3                     // Share of the requests that are streams.
	disconnectShare       = 0.1                     // Share of the streams whose caller disconnects early.
	overLimitShare        = 0.5                     // Share of the requests that belong to overLimitOrganisation.
	openShare             = 0.05                    // Share of the requests that go to the route without a key.
	overLimitPromptFactor = 4                       // Factor on the prompts of overLimitOrganisation, large enough to break RatesHold if no limit were enforced.
	callersPerInstance    = 4                       // Callers per instance, each with kept connections.
	streamTimeout         = 14 * time.Second        // Timeout of streams.
	plainTimeout          = 1500 * time.Millisecond // Timeout of other requests.
)

// sendRequests sends requests until ctx ends, then waits until all have ended.
func (r *run) sendRequests(ctx context.Context) {
	random := r.randomSource(1)
	callers := make(map[string][]*standin.Caller)
	for _, i := range r.testbed.instances {
		for range callersPerInstance {
			callers[i.name] = append(callers[i.name], standin.NewCaller())
		}
	}
	var open sync.WaitGroup
	defer open.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		pause := time.Duration(random.ExpFloat64() / r.cfg.Rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		i := r.testbed.instances[random.IntN(len(r.testbed.instances))]
		if !r.testbed.inRotation(i) {
			continue
		}
		a := r.drawRequest(random, n)
		r.drawDisconnect(random, a)
		r.drawParts(a, n)
		c := callers[i.name][random.IntN(callersPerInstance)]
		open.Go(func() { r.sendRequest(c, i, a) })
	}
}

// drawRequest draws the kind, organisation and sizes of the request with number n.
func (r *run) drawRequest(random *rand.Rand, n int) *request {
	a := &request{organisation: []string{"quiet", "steady"}[random.IntN(2)]}
	if random.Float64() < overLimitShare {
		a.organisation = overLimitOrganisation
	}
	a.Request = standin.Request{ID: fmt.Sprintf("%d-%06d", r.cfg.Seed, n), Host: routeHost, Key: "key-" + a.organisation, Timeout: plainTimeout}
	switch kind := random.Float64(); {
	case kind < streamShare:
		a.Stream, a.Path, a.Timeout = true, "/draft/x", streamTimeout
		if random.IntN(2) == 0 {
			a.Path, a.atMostOnce = "/letter/x", true
		}
		a.Prompt, a.Output, a.Body = 500+random.IntN(4000), 100, "prompt"
		if a.organisation == overLimitOrganisation {
			a.Prompt *= overLimitPromptFactor
		}
	case kind < streamShare+openShare:
		a.Path, a.Key, a.organisation = "/open/x", "", ""
	case random.IntN(2) == 0:
		a.Path, a.Body, a.atMostOnce = "/order/x", "order", true
	default:
		a.Path = "/status/x"
	}
	return a
}

// drawDisconnect lets the callers of some streams disconnect early.
func (r *run) drawDisconnect(random *rand.Rand, a *request) {
	if !a.Stream || random.Float64() >= disconnectShare {
		return
	}
	disconnect := make(chan struct{})
	a.Disconnect = disconnect
	time.AfterFunc(time.Duration(random.IntN(900))*time.Millisecond, func() {
		r.mu.Lock()
		a.disconnectedAt = time.Now()
		r.mu.Unlock()
		close(disconnect)
	})
}

// sendRequest sends a request to an instance and records its answer.
func (r *run) sendRequest(c *standin.Caller, i *instance, a *request) {
	r.mu.Lock()
	a.instance, a.process, a.sentAt = i.name, i.currentProcess().Name, time.Now()
	r.requests[a.ID] = a
	r.mu.Unlock()
	answer := c.Do(context.Background(), string(i.settings.CallerAddress), a.Request)
	r.mu.Lock()
	defer r.mu.Unlock()
	a.answer, a.endedAt = answer, time.Now()
}
