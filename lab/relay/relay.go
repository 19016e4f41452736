// Package relay forwards TCP connections to another address and can simulate a
// network partition, one-way loss, silence, delay, refused connections and resets.
package relay

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"
)

// bufferBytes is the largest chunk of data that is forwarded at once.
const bufferBytes = 32 << 10

// Relay forwards the connections to its address to one target.
type Relay struct {
	target  string
	address string
	wg      sync.WaitGroup

	mu            sync.Mutex
	listener      net.Listener        // Nil while connections are refused.
	held          chan struct{}       // Closed when data is forwarded again; nil while it is.
	cutSources    map[netip.Addr]bool // New connections from these addresses lose all data.
	dropAll       bool                // New connections lose all data.
	dropResponses bool                // New connections lose the data from the target.
	delay         time.Duration       // Delay of each chunk, in both directions.
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

// Option configures a relay.
type Option func(*Relay)

// WithAddress makes a relay listen on an address instead of a free loopback port.
func WithAddress(address string) Option { return func(r *Relay) { r.address = address } }

// New returns a relay to target that listens on a free loopback port.
func New(target string, opts ...Option) (*Relay, error) {
	r := &Relay{target: target, address: "127.0.0.1:0", cutSources: make(map[netip.Addr]bool), pairs: make(map[*connPair]bool)}
	for _, o := range opts {
		o(r)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.listen(); err != nil {
		return nil, err
	}
	return r, nil
}

// Address returns the address to connect to.
func (r *Relay) Address() string { return r.address }

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

// CutFrom does the same as Cut, for the connections from one address only.
func (r *Relay) CutFrom(source netip.Addr) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutSources[source] = true
	for p := range r.pairs {
		p.dropAll = p.dropAll || p.source() == source
	}
}

// Hold keeps the data of all connections back until Heal, which then delivers it.
func (r *Relay) Hold() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.held == nil {
		r.held = make(chan struct{})
	}
}

// Refuse closes all connections with a TCP reset and refuses new ones.
func (r *Relay) Refuse() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		// The accept loop ends in any case.
		_ = r.listener.Close()
		r.listener = nil
	}
	r.resetAll()
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
	r.resetAll()
}

// resetAll closes all connections with a TCP reset. The caller holds mu.
func (r *Relay) resetAll() {
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

// Heal forwards new connections without loss or delay, and delivers what was kept back.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropAll, r.dropResponses, r.delay = false, false, 0
	clear(r.cutSources)
	r.release()
}

// Accept accepts connections again after Refuse.
func (r *Relay) Accept() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil || r.closed {
		return nil
	}
	return r.listen()
}

// listen starts to accept connections. The caller holds mu.
func (r *Relay) listen() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.listener, r.address = listener, listener.Addr().String()
	r.wg.Go(func() { r.accept(listener) })
	return nil
}

// release delivers what was kept back. The caller holds mu.
func (r *Relay) release() {
	if r.held != nil {
		close(r.held)
		r.held = nil
	}
}

// Close closes the listener and all connections, and waits for the goroutines.
func (r *Relay) Close() error {
	r.mu.Lock()
	var err error
	if r.listener != nil {
		err = r.listener.Close()
	}
	r.closed = true
	r.release()
	for p := range r.pairs {
		p.close()
	}
	r.mu.Unlock()
	r.wg.Wait()
	return err
}

// accept accepts connections until the listener is closed.
func (r *Relay) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
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
	p.dropAll, p.dropResponses = r.dropAll || r.cutSources[p.source()], r.dropResponses
	r.pairs[p] = true
	return r.listener != nil && !r.closed
}

// remove closes a pair and unregisters it.
func (r *Relay) remove(p *connPair) {
	p.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// awaitRelease waits while data is kept back.
func (r *Relay) awaitRelease() {
	r.mu.Lock()
	held := r.held
	r.mu.Unlock()
	if held != nil {
		<-held
	}
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
		r.awaitRelease()
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

// source returns the address from which the connection was made.
func (p *connPair) source() netip.Addr {
	tcp, ok := p.client.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.Addr{}
	}
	return tcp.AddrPort().Addr().Unmap()
}

// close closes both connections.
func (p *connPair) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}
