package httpcall

import (
	"net"

	"golang.org/x/sys/unix"
)

// endLargeWrite sets the usual timeout again once a large request was written and the endpoint's
// host has acknowledged all of it. The longer one would let a dead host go unnoticed for twice as
// long while the response is received.
func (x *poolExchange) endLargeWrite() {
	select {
	case res := <-x.writeDone:
		x.writeDone <- res // For awaitWrite.
		if res.panic == nil && res.err == nil && !hasUnacked(x.conn.Conn) {
			_ = x.conn.setUserTimeout(poolUserTimeout) // After a failure the longer one applies.
		}
	default:
	}
}

// hasUnacked reports whether the endpoint's host has not acknowledged all sent bytes.
func hasUnacked(conn net.Conn) bool {
	unacked := 0
	var queryErr error
	err := withDescriptor(conn, func(fd int) { unacked, queryErr = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return err != nil || queryErr != nil || unacked > 0
}
