// Package relay passes TCP connections on to another address, and can be cut
// like a network between two failure domains.
package relay

import (
	"errors"
	"net"
	"sync"
)

// bufferBytes is the size of the pieces that are passed on.
const bufferBytes = 32 << 10

// Relay is one relay.
type Relay struct {
	target   string
	listener net.Listener
	work     sync.WaitGroup

	mu     sync.Mutex
	cut    bool
	closed bool
	pairs  map[*pair]bool
}

// pair is a connection and the one it is passed on to.
type pair struct {
	near, far net.Conn
	silent    bool // Under the lock of the Relay; once true, it stays so.
}

// New returns a relay to target that listens on a free loopback port.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: listener, pairs: make(map[*pair]bool)}
	r.work.Go(r.accept)
	return r, nil
}

// Address returns the address to connect to.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut makes all connections silent: what is sent is lost. New connections are
// taken and are silent too. Connections that were cut stay silent for good.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
	for p := range r.pairs {
		p.silent = true
	}
}

// Heal lets new connections through.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = false
}

// Close ends all connections and waits.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for p := range r.pairs {
		p.close()
	}
	r.mu.Unlock()
	r.work.Wait()
	return err
}

// accept takes connections until the listener is closed.
func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.work.Go(func() { r.pass(near) })
	}
}

// pass passes on both directions of a connection until both have ended.
func (r *Relay) pass(near net.Conn) {
	far, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pair{near: near, far: far}
	if !r.add(p) {
		p.close()
		return
	}
	defer r.remove(p)
	var back sync.WaitGroup
	back.Go(func() { r.copy(p, near, far) })
	r.copy(p, far, near)
	back.Wait()
}

// add registers a pair; it returns false when the relay is closed.
func (r *Relay) add(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.silent = r.cut
	r.pairs[p] = true
	return !r.closed
}

// remove closes a pair and drops it.
func (r *Relay) remove(p *pair) {
	p.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// isSilent reports whether what the pair carries is lost.
func (r *Relay) isSilent(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.silent
}

// copy passes on what comes from one end until that end closes. Then it closes
// the other end, unless the pair is silent: a lost end is lost too.
func (r *Relay) copy(p *pair, to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !r.isSilent(p) {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			break
		}
	}
	if !r.isSilent(p) {
		p.close()
	}
}

// close closes both connections.
func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}
