package caller

import (
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// Settings with which the kernel detects, within about 11 s, that a caller's host or
// network no longer responds. A connection that the caller closes is detected at once.
const (
	keepaliveIdle     = 5 * time.Second
	keepaliveInterval = 2 * time.Second
	keepaliveProbes   = 3
	userTimeout       = 10 * time.Second // How long sent bytes may stay unacknowledged.
)

// setSocketOptions makes the kernel detect a caller whose host or network no longer
// responds. On failure the kernel's defaults stay in effect.
func setSocketOptions(nbc *nbio.Conn) {
	withDescriptor(nbc, func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepaliveIdle.Seconds()))
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepaliveInterval.Seconds()))
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepaliveProbes)
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
}

// shutdownWrite shuts down the sending side of a connection.
func shutdownWrite(nbc *nbio.Conn) {
	withDescriptor(nbc, func(fd int) { _ = unix.Shutdown(fd, unix.SHUT_WR) })
}

// hasUnacked reports whether the kernel holds sent bytes that the caller's host has not
// acknowledged. Only while it does may nbio have buffered more.
func hasUnacked(nbc *nbio.Conn) bool { return unackedBytes(nbc) > 0 }

// unackedBytes returns the number of sent bytes that the caller's host has not acknowledged.
func unackedBytes(nbc *nbio.Conn) int {
	n := 0
	withDescriptor(nbc, func(fd int) { n, _ = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return n
}

// hasUnread reports whether the kernel has received bytes that the poller has not read.
func hasUnread(nbc *nbio.Conn) bool {
	n := 0
	withDescriptor(nbc, func(fd int) { n, _ = unix.IoctlGetInt(fd, unix.SIOCINQ) })
	return n > 0
}

// peerClosed reports whether the caller has closed its side or reset the connection, even
// if the poller has not yet read all bytes before that.
func peerClosed(nbc *nbio.Conn) bool {
	closed := false
	withDescriptor(nbc, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed
}

// withDescriptor calls f with the descriptor of a connection, unless it is closed.
func withDescriptor(nbc *nbio.Conn, f func(fd int)) {
	raw, err := nbc.SyscallConn()
	if err != nil {
		return
	}
	nbc.Lock()
	defer nbc.Unlock()
	if closed, _ := nbc.IsClosed(); closed {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}
