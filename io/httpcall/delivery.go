package httpcall

import (
	"net"
	"time"

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
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return fault.New(fault.Internal, "the connection is not TCP").WithRan(fault.NotRun)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot reach the socket").WithRan(fault.NotRun)
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(within.Milliseconds()))
	})
	if err == nil {
		err = setErr
	}
	if err == nil {
		err = tcp.SetLinger(0)
	}
	if err != nil {
		return fault.Wrap(err, fault.Internal, "cannot bound the delivery").WithRan(fault.NotRun)
	}
	return nil
}
