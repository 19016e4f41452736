// Package poller starts and stops nbhttp engines safely.
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
	// startTimeout bounds the wait for the pollers of an engine.
	startTimeout = 10 * time.Second
	// maxProbes bounds the socket pairs that find all pollers.
	maxProbes = 64
)

var quietLibrary sync.Once

// Start starts an engine and returns when all of its pollers run. A poller
// clears its stop mark when its loop begins, so that a Stop before that moment
// would be lost and would wait for ever.
func Start(engine *nbhttp.Engine) error {
	// The library logs to standard output; users of this package report the
	// same errors themselves.
	quietLibrary.Do(func() { logging.SetLevel(logging.LevelNone) })
	if err := engine.Start(); err != nil {
		return fault.Wrap(err, fault.Internal, "cannot start the poller")
	}
	if err := await(engine); err != nil {
		engine.Stop()
		return err
	}
	return nil
}

// await sends one byte through each poller.
func await(engine *nbhttp.Engine) error {
	var open []*probe
	defer func() {
		for _, p := range open {
			p.close()
		}
	}()
	reached := map[int]bool{}
	for i := 0; i < maxProbes && len(reached) < engine.NPoller; i++ {
		p, err := newProbe(engine)
		if err != nil {
			return err
		}
		// Kept open, so that the next pair gets other descriptors, by which
		// the engine chooses the poller.
		open = append(open, p)
		if err := p.run(); err != nil {
			return err
		}
		reached[p.conn.Hash()%engine.NPoller] = true
	}
	return nil
}

// probe is a socket pair with one end at a poller.
type probe struct {
	conn *nbio.Conn
	peer *os.File
	seen chan struct{}
}

// newProbe adds a socket pair to the engine.
func newProbe(engine *nbhttp.Engine) (*probe, error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot make a socket pair")
	}
	p := &probe{peer: os.NewFile(uintptr(fds[1]), "probe"), seen: make(chan struct{})}
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
	p.conn.OnData(func(*nbio.Conn, []byte) { once.Do(func() { close(p.seen) }) })
	if _, err := engine.AddConn(p.conn); err != nil {
		_ = p.peer.Close()
		return nil, fault.Wrap(err, fault.Internal, "cannot add a socket pair")
	}
	return p, nil
}

// run sends a byte and waits until the poller has read it.
func (p *probe) run() error {
	if _, err := p.peer.Write([]byte{1}); err != nil {
		return fault.Wrap(err, fault.Internal, "cannot reach the poller")
	}
	select {
	case <-p.seen:
		return nil
	case <-time.After(startTimeout):
		return fault.New(fault.Internal, "the poller does not run")
	}
}

// close ends the probe.
func (p *probe) close() {
	_ = p.conn.Close()
	_ = p.peer.Close()
}
