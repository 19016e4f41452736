package caller

import (
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// Times after which a silent caller counts as gone. A caller that has left in
// the usual way is noticed at once.
const (
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveProbes   = 3
	unackedTimeout    = 10 * time.Second // Bytes that the caller did not acknowledge.
)

// tune makes the kernel notice a caller whose host or network has gone silent.
// Failures leave the kernel's defaults.
func tune(nbc *nbio.Conn) {
	withDescriptor(nbc, func(fd int) {
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAliveIdle.Seconds()))
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAliveInterval.Seconds()))
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes)
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

// shutdownWrite ends the sending side of a connection.
func shutdownWrite(nbc *nbio.Conn) {
	withDescriptor(nbc, func(fd int) { _ = unix.Shutdown(fd, unix.SHUT_WR) })
}

// unsent reports whether the kernel holds bytes that the caller has not
// acknowledged. While it does, the library may hold more.
func unsent(nbc *nbio.Conn) bool {
	n := 0
	withDescriptor(nbc, func(fd int) { n, _ = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return n > 0
}

// hungUp reports whether the caller has closed its side or reset the connection,
// also while the poller has not read up to there.
func hungUp(nbc *nbio.Conn) bool {
	up := false
	withDescriptor(nbc, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		up = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return up
}

// withDescriptor calls f with the descriptor of an open connection.
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
