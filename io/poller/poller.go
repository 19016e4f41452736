// Package poller starts nbhttp engines such that they can be stopped at any time.
package poller

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"

	"monsoonfork/core/fault"
)

const (
	// probeTimeout bounds the wait for one poller to read a byte.
	probeTimeout = 10 * time.Second
	// maxProbes bounds the socket pairs that are opened to reach all pollers.
	maxProbes = 64
)

var disableLibraryLog sync.Once

// Start starts an engine and returns when the loops of all its pollers run. In nbio
// v1.6.8, a poller clears its stop flag when its loop begins, so a Stop before that
// would be lost and would block for ever.
func Start(engine *nbhttp.Engine) error {
	// nbio logs to standard output. The callers of this package report the same
	// errors themselves.
	disableLibraryLog.Do(func() { logging.SetLevel(logging.LevelNone) })
	if err := engine.Start(); err != nil {
		return fault.Wrap(err, fault.Internal, "cannot start the nbhttp engine")
	}
	if err := awaitPollers(engine); err != nil {
		engine.Stop()
		return err
	}
	return nil
}

// awaitPollers waits until each poller of the engine has read a byte, which shows
// that its loop runs.
func awaitPollers(engine *nbhttp.Engine) error {
	var probes []*probe
	defer func() {
		for _, p := range probes {
			p.close()
		}
	}()
	reached := map[int]bool{}
	for i := 0; i < maxProbes && len(reached) < engine.NPoller; i++ {
		p, err := newProbe(engine)
		if err != nil {
			return err
		}
		// The engine chooses the poller by the file descriptor. Probes stay open,
		// so that the next one gets another descriptor.
		probes = append(probes, p)
		if err := p.awaitRead(); err != nil {
			return err
		}
		reached[p.conn.Hash()%engine.NPoller] = true
	}
	return nil
}

// probe is a socket pair. A poller reads one end; peer is the other.
type probe struct {
	conn     *nbio.Conn
	peer     *os.File
	received chan struct{}
}

// newProbe opens a socket pair and adds one end to the engine.
func newProbe(engine *nbhttp.Engine) (*probe, error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot create a socket pair")
	}
	p := &probe{peer: os.NewFile(uintptr(fds[1]), "probe"), received: make(chan struct{})}
	file := os.NewFile(uintptr(fds[0]), "probe")
	std, err := net.FileConn(file)
	_ = file.Close()
	if err != nil {
		_ = p.peer.Close()
		return nil, fault.Wrap(err, fault.Internal, "cannot use a socket pair")
	}
	if p.conn, err = nbio.NBConn(std); err != nil {
		_ = p.peer.Close()
		return nil, fault.Wrap(err, fault.Internal, "cannot use a socket pair")
	}
	var once sync.Once
	p.conn.OnData(func(*nbio.Conn, []byte) { once.Do(func() { close(p.received) }) })
	if _, err := engine.AddConn(p.conn); err != nil {
		_ = p.peer.Close()
		return nil, fault.Wrap(err, fault.Internal, "cannot add a socket pair to the nbhttp engine")
	}
	return p, nil
}

// awaitRead sends a byte and waits until the poller has read it.
func (p *probe) awaitRead() error {
	if _, err := p.peer.Write([]byte{1}); err != nil {
		return fault.Wrap(err, fault.Internal, "cannot write to the poller's socket pair")
	}
	select {
	case <-p.received:
		return nil
	case <-time.After(probeTimeout):
		return fault.New(fault.Internal, "a poller did not read the probe byte in time")
	}
}

// close closes both ends of the socket pair.
func (p *probe) close() {
	_ = p.conn.Close()
	_ = p.peer.Close()
}
