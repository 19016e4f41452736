package poller

import (
	"time"

	"github.com/lesismal/nbio/nbhttp"
)

// barrierTimeout bounds the wait of Barrier.Await, as a stopped poller reads nothing.
const barrierTimeout = time.Second

// Barrier waits for the pollers of an engine to handle the events that they have already
// fetched. nbio finds the connection of an event by its descriptor: an event that was
// fetched for a connection which another goroutine then closed would be applied to the next
// connection with that descriptor.
type Barrier struct {
	probes []*probe // By the index of the poller.
}

// NewBarrier returns a barrier for a started engine.
func NewBarrier(engine *nbhttp.Engine) (*Barrier, error) {
	probes, err := newProbes(engine)
	if err != nil {
		return nil, err
	}
	return &Barrier{probes: probes}, nil
}

// Await waits until the poller of the connections with the given hash has handled all
// events that it had fetched before the call. Only one goroutine may call it at a time.
func (b *Barrier) Await(hash int) error {
	return b.probes[hash%len(b.probes)].awaitRead(barrierTimeout)
}

// Close closes the barrier. It is to be called after the engine has stopped.
func (b *Barrier) Close() { closeProbes(b.probes) }
