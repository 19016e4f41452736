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
	streamPart  = 0.3
	leavePart   = 0.1 // Of streams, those whose caller leaves.
	loudPart    = 0.5 // Of requests, those of the loud organisation.
	openPart    = 0.05
	loudFactor  = 4 // On the prompts of the loud organisation: without a limit it breaks RatesHold.
	callersEach = 4 // Callers with kept connections at each instance.
	streamWait  = 14 * time.Second
	plainWait   = 1500 * time.Millisecond
)

// load sends requests until ctx ends, and waits for their ends.
func (r *run) load(ctx context.Context) {
	random := r.random(1)
	callers := make(map[string][]*standin.Caller)
	for _, i := range r.world.instances {
		for range callersEach {
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
		i := r.world.instances[random.IntN(len(r.world.instances))]
		if !r.world.inRotation(i) {
			continue
		}
		a := r.draw(random, n)
		c := callers[i.name][random.IntN(callersEach)]
		open.Go(func() { r.send(c, i, a) })
	}
}

// draw draws a request.
func (r *run) draw(random *rand.Rand, n int) *ask {
	a := &ask{org: []string{"quiet", "steady"}[random.IntN(2)]}
	if random.Float64() < loudPart {
		a.org = loudName
	}
	a.Request = standin.Request{ID: fmt.Sprintf("%d-%06d", r.cfg.Seed, n), Host: host, Key: "key-" + a.org, Timeout: plainWait}
	switch kind := random.Float64(); {
	case kind < streamPart:
		a.Stream, a.Path, a.Timeout = true, "/draft/x", streamWait
		if random.IntN(2) == 0 {
			a.Path, a.once = "/letter/x", true
		}
		a.Prompt, a.Output, a.Body = 500+random.IntN(4000), 100, "prompt"
		if a.org == loudName {
			a.Prompt *= loudFactor
		}
		if random.Float64() < leavePart {
			leave := make(chan struct{})
			a.Disconnect = leave
			time.AfterFunc(time.Duration(random.IntN(900))*time.Millisecond, func() {
				r.mu.Lock()
				a.left = time.Now()
				r.mu.Unlock()
				close(leave)
			})
		}
	case kind < streamPart+openPart:
		a.Path, a.Key, a.org = "/open/x", "", ""
	case random.IntN(2) == 0:
		a.Path, a.Body, a.once = "/order/x", "order", true
	default:
		a.Path = "/status/x"
	}
	return a
}

// send sends a request to an instance and keeps what came of it.
func (r *run) send(c *standin.Caller, i *instance, a *ask) {
	r.mu.Lock()
	a.instance, a.process, a.at = i.name, i.current().Name, time.Now()
	r.asks[a.ID] = a
	r.mu.Unlock()
	answer := c.Do(context.Background(), string(i.settings.CallerAddress), a.Request)
	r.mu.Lock()
	defer r.mu.Unlock()
	a.answer, a.ended = answer, time.Now()
}
