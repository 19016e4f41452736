// Package relay passes TCP connections on to another address, and can be cut
// like a network between two failure domains.
package relay

import (
	"errors"
	"net"
	"sync"
	"time"
)

// bufferBytes is the size of the pieces that are passed on.
const bufferBytes = 32 << 10

// Relay is one relay.
type Relay struct {
	target   string
	listener net.Listener
	work     sync.WaitGroup

	mu      sync.Mutex
	cut     bool
	cutBack bool          // Of new connections, only what the target answers is lost.
	delay   time.Duration // Of each piece, in both directions.
	closed  bool
	pairs   map[*pair]bool
}

// pair is a connection and the one it is passed on to.
type pair struct {
	near, far net.Conn
	silent    bool // Under the lock of the Relay; once true, it stays so.
	mute      bool // The same, for what the target answers.
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

// CutAnswers loses what the target answers, on all connections. Connections that
// were cut stay so for good.
func (r *Relay) CutAnswers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutBack = true
	for p := range r.pairs {
		p.mute = true
	}
}

// Delay delays each piece, in both directions.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Reset resets all connections.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		for _, c := range []net.Conn{p.near, p.far} {
			if tcp, ok := c.(*net.TCPConn); ok {
				// The reset is best effort: the connection is closed in any case.
				_ = tcp.SetLinger(0)
			}
		}
		p.close()
	}
}

// Heal lets new connections through, without delay.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut, r.cutBack, r.delay = false, false, 0
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
	p.silent, p.mute = r.cut, r.cutBack
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

// state returns whether what the pair carries to one of its ends is lost, and how
// long it takes.
func (r *Relay) state(p *pair, to net.Conn) (lost bool, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.silent || p.mute && to == p.near, r.delay
}

// copy passes on what comes from one end until that end closes. Then it closes
// the other end, unless the pair is silent: a lost end is lost too.
func (r *Relay) copy(p *pair, to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		lost, delay := r.state(p, to)
		if n > 0 && !lost {
			time.Sleep(delay)
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			break
		}
	}
	if lost, _ := r.state(p, to); !lost {
		p.close()
	}
}

// close closes both connections.
func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}
