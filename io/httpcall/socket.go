package httpcall

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"monsoonfork/core/fault"
)

// limitDelivery makes the kernel drop bytes that the endpoint's host has not
// acknowledged after the given time, and bytes not yet delivered when the connection is
// closed. Zero means no limit.
func limitDelivery(conn net.Conn, timeout time.Duration) error {
	if timeout == 0 {
		return nil
	}
	if err := setUserTimeout(conn, timeout); err != nil {
		return err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			return fault.Wrap(err, fault.Internal, "cannot set the socket option SO_LINGER").WithRan(fault.NotRun)
		}
	}
	return nil
}

// setUserTimeout makes the kernel end a connection whose sent bytes are not acknowledged
// after the given time.
func setUserTimeout(conn net.Conn, timeout time.Duration) error {
	var setErr error
	err := withDescriptor(conn, func(fd int) {
		setErr = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err == nil {
		err = setErr
	}
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot set the socket option TCP_USER_TIMEOUT").WithRan(fault.NotRun)
	}
	return nil
}

// isIdle reports whether a connection without a call is still usable: it has received
// neither unexpected bytes nor a close.
func isIdle(conn net.Conn) bool {
	var buf [1]byte
	var peekErr error
	err := withDescriptor(conn, func(fd int) {
		_, _, peekErr = unix.Recvfrom(fd, buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && (errors.Is(peekErr, unix.EAGAIN) || errors.Is(peekErr, unix.EINTR))
}

// withDescriptor calls f with the file descriptor of a connection.
func withDescriptor(conn net.Conn, f func(fd int)) error {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return errors.New("the connection has no file descriptor")
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
