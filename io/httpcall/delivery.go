package httpcall

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"monsoonfork/core/fault"
)

// boundDelivery lets the kernel drop what the endpoint's host has not
// acknowledged within a time, and what is left when the connection is closed.
// Zero sets no bound.
func boundDelivery(conn net.Conn, within time.Duration) error {
	if within == 0 {
		return nil
	}
	if err := boundUnacked(conn, within); err != nil {
		return err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return fault.Wrap(err, fault.Internal, "cannot bound the delivery").WithRan(fault.NotRun)
		}
	}
	return nil
}

// boundUnacked lets the kernel end a connection whose sent bytes are not
// acknowledged within a time.
func boundUnacked(conn net.Conn, within time.Duration) error {
	var setErr error
	err := control(conn, func(fd int) {
		setErr = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(within.Milliseconds()))
	})
	if err == nil {
		err = setErr
	}
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot bound the delivery").WithRan(fault.NotRun)
	}
	return nil
}

// quiet reports whether nothing has come on an idle connection: neither bytes
// that belong to no call nor its end.
func quiet(conn net.Conn) bool {
	var one [1]byte
	var peekErr error
	err := control(conn, func(fd int) {
		_, _, peekErr = unix.Recvfrom(fd, one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && (errors.Is(peekErr, unix.EAGAIN) || errors.Is(peekErr, unix.EINTR))
}

// control calls f with the descriptor of a connection.
func control(conn net.Conn, f func(fd int)) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return errors.New("the connection has no descriptor")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
