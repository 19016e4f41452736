package poller

import (
	"context"

	"github.com/lesismal/nbio/nbhttp"

	"monsoonfork/core/fault"
)

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
// events that it had fetched before the call, or until ctx ends. Any number of goroutines may
// call it, but not a poller of the engine, which would wait for itself.
func (b *Barrier) Await(ctx context.Context, hash int) error {
	return b.probes[hash%len(b.probes)].awaitRead(ctx)
}

// Close closes the barrier. It is to be called after the engine has stopped.
func (b *Barrier) Close() { closeProbes(b.probes) }

// awaitRead waits until the poller has read a byte that was sent after the call, or until ctx
// ends. The poller reads it after all events that it had fetched before.
func (p *probe) awaitRead(ctx context.Context) error {
	read, err := p.nextRead()
	if err != nil {
		return err
	}
	select {
	case <-read:
		return nil
	case <-ctx.Done():
		return fault.Wrap(context.Cause(ctx), fault.Internal, "a poller did not read the probe byte in time")
	}
}

// nextRead returns a channel that is closed when the poller has read a byte that was sent
// after the call. Only one byte is under way at a time, as the poller may already have
// fetched its event; all goroutines that come meanwhile share the next byte.
func (p *probe) nextRead() (<-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent != nil {
		if p.wanted == nil {
			p.wanted = make(chan struct{})
		}
		return p.wanted, nil
	}
	if err := p.send(); err != nil {
		return nil, err
	}
	p.sent = make(chan struct{})
	return p.sent, nil
}

// onRead is called by the poller when it has read the byte under way. It sends the next byte
// if one is wanted; the poller reads that one only after it has fetched events again.
func (p *probe) onRead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sent == nil {
		return
	}
	close(p.sent)
	p.sent, p.wanted = p.wanted, nil
	if p.sent != nil && p.send() != nil {
		close(p.sent) // The engine has stopped.
		p.sent = nil
	}
}

// send sends a byte to the poller. The caller must hold p.mu.
func (p *probe) send() error {
	if _, err := p.peer.Write([]byte{1}); err != nil {
		return fault.Wrap(err, fault.Internal, "cannot write to the poller's socket pair")
	}
	return nil
}
