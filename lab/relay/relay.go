// Package relay forwards TCP connections to another address and can simulate a
// network partition, one-way loss, delay and resets between two failure domains.
package relay

import (
	"errors"
	"net"
	"sync"
	"time"
)

// bufferBytes is the largest chunk of data that is forwarded at once.
const bufferBytes = 32 << 10

// Relay forwards the connections to its address to one target.
type Relay struct {
	target   string
	listener net.Listener
	wg       sync.WaitGroup

	mu            sync.Mutex
	dropAll       bool          // New connections lose all data.
	dropResponses bool          // New connections lose the data from the target.
	delay         time.Duration // Delay of each chunk, in both directions.
	closed        bool
	pairs         map[*connPair]bool
}

// connPair is an accepted connection and the connection to the target that it is
// forwarded to.
type connPair struct {
	client, server net.Conn
	dropAll        bool // Guarded by Relay.mu; never reset once true.
	dropResponses  bool // Loses the data from the target; guarded and kept like dropAll.
}

// New returns a relay to target that listens on a free loopback port.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: listener, pairs: make(map[*connPair]bool)}
	r.wg.Go(r.accept)
	return r, nil
}

// Address returns the address to connect to.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Cut drops the data of all connections in both directions without closing them.
// New connections are accepted and lose their data too. Connections that were cut
// keep losing data after Heal.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropAll = true
	for p := range r.pairs {
		p.dropAll = true
	}
}

// CutResponses drops the data from the target on all connections, new ones included.
// Connections that were cut keep losing data after Heal.
func (r *Relay) CutResponses() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropResponses = true
	for p := range r.pairs {
		p.dropResponses = true
	}
}

// Delay delays each chunk by d, in both directions.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Reset closes all connections with a TCP reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		for _, c := range []net.Conn{p.client, p.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				// The reset is best effort: the connection is closed in any case.
				_ = tcp.SetLinger(0)
			}
		}
		p.close()
	}
}

// Heal forwards new connections without loss or delay.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropAll, r.dropResponses, r.delay = false, false, 0
}

// Close closes the listener and all connections, and waits for the goroutines.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for p := range r.pairs {
		p.close()
	}
	r.mu.Unlock()
	r.wg.Wait()
	return err
}

// accept accepts connections until the listener is closed.
func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.wg.Go(func() { r.forward(client) })
	}
}

// forward dials the target and copies both directions of a connection until both
// have ended.
func (r *Relay) forward(client net.Conn) {
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p := &connPair{client: client, server: server}
	if !r.add(p) {
		p.close()
		return
	}
	defer r.remove(p)
	var back sync.WaitGroup
	back.Go(func() { r.copyOneWay(p, client, server) })
	r.copyOneWay(p, server, client)
	back.Wait()
}

// add registers a pair; it returns false if the relay is closed.
func (r *Relay) add(p *connPair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.dropAll, p.dropResponses = r.dropAll, r.dropResponses
	r.pairs[p] = true
	return !r.closed
}

// remove closes a pair and unregisters it.
func (r *Relay) remove(p *connPair) {
	p.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// linkState returns whether data of the pair for the connection to is lost, and its
// delay.
func (r *Relay) linkState(p *connPair, to net.Conn) (lost bool, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.dropAll || p.dropResponses && to == p.client, r.delay
}

// copyOneWay copies data between the two connections of a pair until reading or
// writing fails. Then it closes the pair, unless the data in this direction is
// lost: a lossy network loses the end of the stream as well.
func (r *Relay) copyOneWay(p *connPair, to, from net.Conn) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		lost, delay := r.linkState(p, to)
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
	if lost, _ := r.linkState(p, to); !lost {
		p.close()
	}
}

// close closes both connections.
func (p *connPair) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}
