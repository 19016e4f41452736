package caller

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/lesismal/nbio"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
)

const (
	// reservedDescriptors is the number of descriptors that are kept free for connections
	// which are only rejected.
	reservedDescriptors = 16
	// acceptPause is the pause after a failure to accept a connection.
	acceptPause = 20 * time.Millisecond
	// registerTimeout limits the wait for the registration of the last connection, which may
	// wait for its poller.
	registerTimeout = 2 * barrierTimeout
	// rejectTime limits how long a rejected connection may use a descriptor.
	rejectTime = 250 * time.Millisecond
	// rejectingGap is how long no connection must have been rejected before the next one is
	// logged again.
	rejectingGap = 10 * time.Second
)

// acceptor is the listener for callers' connections. nbhttp calls Accept again at once if it
// fails, and closes a connection without a response if no descriptor is free to duplicate that
// of the connection. An acceptor pauses after a failure, and responds that the request has not
// run.
type acceptor struct {
	net.Listener
	log      log.Logger
	rejected metrics.Counter
	closed   chan struct{} // Closed by Close.
	close    func()
	idle     chan struct{} // Closed when Accept is called or waits after the listener was closed.
	setIdle  func()

	// Accessed only by Accept.
	reserve      []*os.File
	lastRejected time.Time
}

// newAcceptor returns an acceptor for a listener.
func newAcceptor(l net.Listener, logger log.Logger, rejected metrics.Counter) *acceptor {
	a := &acceptor{Listener: l, log: logger, rejected: rejected, closed: make(chan struct{}), idle: make(chan struct{})}
	a.close = sync.OnceFunc(func() { close(a.closed) })
	a.setIdle = sync.OnceFunc(func() { close(a.idle) })
	_ = a.fillReserve() // Accept tries again.
	return a
}

// Accept returns the next connection that can be served, as a *nbio.Conn. It rejects others.
func (a *acceptor) Accept() (net.Conn, error) {
	for {
		c, err := a.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			a.freeReserve(reservedDescriptors)
			a.setIdle()
			<-a.closed
			return nil, err
		}
		if err != nil {
			a.report(err)
			if a.freeReserve(1) == 0 {
				a.pause()
			}
			continue
		}
		err = a.fillReserve()
		var nbc *nbio.Conn
		if err == nil {
			nbc, err = nbio.NBConn(c)
		}
		if err == nil {
			return nbc, nil
		}
		a.report(err)
		a.rejected.Inc(1)
		go reject(c)
	}
}

// stop closes the listener, so that connections are refused, and waits until the last one that
// was accepted is registered. The engine, which calls Accept again at once if it fails, waits in
// Accept until Close. An engine that stops while a connection is being registered would neither
// serve nor close it.
func (a *acceptor) stop() {
	_ = a.Listener.Close()
	select {
	case <-a.idle:
	case <-time.After(registerTimeout):
	}
}

// Close closes the listener and ends Accept.
func (a *acceptor) Close() error {
	a.close()
	return a.Listener.Close()
}

// pause waits for acceptPause or until Close.
func (a *acceptor) pause() {
	select {
	case <-a.closed:
	case <-time.After(acceptPause):
	}
}

// report logs that connections are rejected, once until none was for rejectingGap.
func (a *acceptor) report(err error) {
	now := time.Now()
	if now.Sub(a.lastRejected) > rejectingGap {
		_ = level.Error(a.log).Log("msg", event.RejectingConnections, "err", err)
	}
	a.lastRejected = now
}

// fillReserve opens the reserved descriptors that are not open.
func (a *acceptor) fillReserve() error {
	for len(a.reserve) < reservedDescriptors {
		f, err := os.Open(os.DevNull)
		if err != nil {
			return err
		}
		a.reserve = append(a.reserve, f)
	}
	return nil
}

// freeReserve closes up to n reserved descriptors and returns how many.
func (a *acceptor) freeReserve(n int) int {
	n = min(n, len(a.reserve))
	for _, f := range a.reserve[len(a.reserve)-n:] {
		_ = f.Close()
	}
	a.reserve = a.reserve[:len(a.reserve)-n]
	return n
}

// reject responds to the first request of a connection that it has not run, and closes the
// connection. It closes a connection on which no request arrives without a response.
func reject(c net.Conn) {
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(rejectTime))
	if n, err := c.Read(make([]byte, 1)); n == 0 || err != nil {
		return
	}
	if _, err := c.Write(rawErrorResponse(fault.New(fault.Overloaded, "no descriptor is free for the connection"))); err != nil {
		return
	}
	// Closing with unread input would reset the connection, and the caller might lose the
	// response.
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, c)
}
