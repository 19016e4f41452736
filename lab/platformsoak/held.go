package platformsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"monsoonfork/platform/standin"
)

// Timing and sizes of the held connections.
const (
	heldPerInstance = 3                      // Held connections of each instance.
	maxHeldIdle     = 3 * time.Second        // Upper bound on the idle time between two requests on a held connection.
	maxHalfSent     = 3 * time.Second        // Upper bound on the time between the two parts of a request.
	closeCrossing   = 200 * time.Millisecond // A connection that is closed so soon after a request may have crossed it.
	heldRetryDelay  = 100 * time.Millisecond
	firstHeldPart   = 100_000 // Part of the run that draws the first held connection; the others follow.
)

// holdConnections keeps connections to all instances until ctx ends, idle or with requests
// that are sent in two parts, and uses each until the instance closes it.
func (r *run) holdConnections(ctx context.Context) {
	var holders sync.WaitGroup
	defer holders.Wait()
	for n, i := range r.testbed.instances {
		for k := range heldPerInstance {
			number := n*heldPerInstance + k
			random := r.randomSource(firstHeldPart + uint64(number))
			holders.Go(func() {
				for ctx.Err() == nil {
					r.holdConnection(ctx, i, number, random)
					sleep(ctx, heldRetryDelay)
				}
			})
		}
	}
}

// holdConnection uses one connection until the instance closes it.
func (r *run) holdConnection(ctx context.Context, i *instance, number int, random *rand.Rand) {
	if !r.testbed.inRotation(i) {
		return
	}
	process := i.currentProcess().Name
	h, err := standin.Hold(ctx, string(i.settings.CallerAddress))
	if err != nil {
		return
	}
	defer h.Close()
	for n := 0; ctx.Err() == nil; n++ {
		if !h.IsOpen(randomDuration(random, 0, maxHeldIdle)) {
			return
		}
		a := r.drawRequest(random, 0)
		a.held, a.instance, a.process = true, i.name, process
		a.ID = fmt.Sprintf("%d-held-%d-%d-%d", r.cfg.Seed, number, time.Since(r.start).Milliseconds(), n)
		if !r.sendHeld(h, a, random) {
			return
		}
	}
}

// sendHeld sends a request in two parts and records its answer. It reports whether the
// connection can be used again.
func (r *run) sendHeld(h *standin.HeldConnection, a *request, random *rand.Rand) (mayReuse bool) {
	err := h.SendPart(a.Request, random.Float64())
	if err != nil || !h.IsOpen(randomDuration(random, 0, maxHalfSent)) {
		return false
	}
	// The instance may close the connection now; such a request was not received whole.
	r.mu.Lock()
	a.sentAt = time.Now()
	r.requests[a.ID] = a
	r.mu.Unlock()
	var answer standin.Answer
	if err := h.SendRest(); err != nil {
		answer.Err = err
	} else {
		answer, mayReuse = h.Receive(a.Request)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	a.answer, a.endedAt = answer, time.Now()
	return mayReuse
}

// checkHeld reports a whole request on a held connection that got neither an answer nor a
// refusal, unless its close may have crossed the request, its deadline passed, it waits for
// an engine with a fault, or the process was killed, paused, or reached its time limit.
func (r *run) checkHeld(a *request, runs []standin.Run) {
	if !a.held || a.answer.Err == nil || a.endedAt.Sub(a.sentAt) <= closeCrossing+measurementSlack {
		return
	}
	r.mu.Lock()
	stoppedAt, stopped := r.plannedStops[a.process]
	r.mu.Unlock()
	atLimit := stopped && a.endedAt.After(stoppedAt.Add(stopTime*5/6))
	expired := a.endedAt.After(a.sentAt.Add(a.Timeout - measurementSlack))
	if atLimit || expired || r.isInterrupted(a.process, a.sentAt, a.endedAt) || !r.enginesFaultFree(runs, a.sentAt, a.endedAt) {
		return
	}
	r.addFinding(HeldRequestsAreAnswered, "%s sent whole at %s, ended after %.2fs: %s", a.describe(), a.sentAt.Format(timeLayout), a.endedAt.Sub(a.sentAt).Seconds(), describeRuns(runs))
}
