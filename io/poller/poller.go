// Package poller starts nbhttp engines such that they can be stopped at any time.
package poller

import (
	"context"
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
	// probeTimeout bounds the wait for the pollers to read a byte each.
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
	probes, err := newProbes(engine)
	if err != nil {
		return err
	}
	defer closeProbes(probes)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	for _, p := range probes {
		if err := p.awaitRead(ctx); err != nil {
			return err
		}
	}
	return nil
}

// newProbes opens a probe for each poller of an engine, by the index of the poller. The
// engine chooses the poller by the file descriptor. A probe takes two descriptors, so that
// all probes could have the same poller; as many more are opened after each one that is not
// needed that the next one has the next poller, if the descriptors are free.
func newProbes(engine *nbhttp.Engine) ([]*probe, error) {
	probes := make([]*probe, engine.NPoller)
	var unneeded []*probe
	var fillers []*os.File
	defer func() {
		closeProbes(unneeded)
		for _, f := range fillers {
			_ = f.Close()
		}
	}()
	for missing, tries := engine.NPoller, 0; missing > 0; tries++ {
		if tries == maxProbes {
			closeProbes(probes)
			return nil, fault.New(fault.Internal, "no probe for each poller after %d probes", maxProbes)
		}
		p, err := newProbe(engine)
		if err != nil {
			closeProbes(probes)
			return nil, err
		}
		if i := p.conn.Hash() % engine.NPoller; probes[i] == nil {
			probes[i] = p
			missing--
			continue
		}
		unneeded = append(unneeded, p)
		fillers = append(fillers, duplicates(p.peer, engine.NPoller-1)...)
	}
	return probes, nil
}

// duplicates returns up to n duplicates of a file.
func duplicates(f *os.File, n int) []*os.File {
	var all []*os.File
	for range n {
		if fd, err := syscall.Dup(int(f.Fd())); err == nil {
			all = append(all, os.NewFile(uintptr(fd), "filler"))
		}
	}
	return all
}

// closeProbes closes probes, some of which may be nil.
func closeProbes(probes []*probe) {
	for _, p := range probes {
		if p != nil {
			p.close()
		}
	}
}

// probe is a socket pair. A poller reads one end; peer is the other.
type probe struct {
	conn *nbio.Conn
	peer *os.File

	mu     sync.Mutex
	sent   chan struct{} // Closed when the byte under way is read; nil without one.
	wanted chan struct{} // Closed when the byte after it is read; nil if none is to be sent.
}

// newProbe opens a socket pair and adds one end to the engine.
func newProbe(engine *nbhttp.Engine) (*probe, error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot create a socket pair")
	}
	p := &probe{peer: os.NewFile(uintptr(fds[1]), "probe")}
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
	p.conn.OnData(func(*nbio.Conn, []byte) { p.onRead() })
	if _, err := engine.AddConn(p.conn); err != nil {
		_ = p.peer.Close()
		return nil, fault.Wrap(err, fault.Internal, "cannot add a socket pair to the nbhttp engine")
	}
	return p, nil
}

// close closes both ends of the socket pair.
func (p *probe) close() {
	_ = p.conn.Close()
	_ = p.peer.Close()
}
