package caller

import (
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// Settings with which the kernel detects, within about 11 s, that a caller's host or network no
// longer responds while no sent bytes are unacknowledged; see isUnresponsive for the rest.
// TCP_USER_TIMEOUT is not set: it also ends connections of callers that read slowly, whose
// receive window does not take a whole segment for that long. A connection that the caller closes
// is detected at once.
const (
	keepaliveIdle     = 5 * time.Second
	keepaliveInterval = 2 * time.Second
	keepaliveProbes   = 3
)

const (
	// unresponsiveTime is how long a caller's host may acknowledge nothing.
	unresponsiveTime = 10 * time.Second
	// unansweredProbes is the number of probes of a closed receive window to which a host has
	// to respond in this time.
	unansweredProbes = 3
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

// hostResponds reports whether the caller's host responds to what is sent to it.
func hostResponds(nbc *nbio.Conn) bool {
	responds := true
	withDescriptor(nbc, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		responds = err != nil || !isUnresponsive(info)
	})
	return responds
}

// isUnresponsive reports whether a host has acknowledged nothing for unresponsiveTime, neither
// segments that were sent again nor probes of its closed receive window. A host whose caller
// reads nothing does acknowledge probes.
func isUnresponsive(info *unix.TCPInfo) bool {
	if int64(info.Last_ack_recv) < unresponsiveTime.Milliseconds() {
		return false
	}
	return info.Unacked > 0 && info.Retransmits > 0 || info.Probes >= unansweredProbes
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
