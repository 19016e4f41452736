package httpcall

import (
	"bufio"
	"net"
	"slices"
	"time"
)

// connBufferBytes is the size of a connection's read buffer.
const connBufferBytes = 4 << 10

// poolConn is a connection of a Pool.
type poolConn struct {
	net.Conn
	head      *headReader
	br        *bufio.Reader // Reads from head.
	idleSince time.Time     // When its last call ended.
	expires   time.Time     // Not reused from this time on.
	used      bool          // A call was sent on it.
	carried   []carriedCall

	userTimeout time.Duration // See setUserTimeout.
}

// carriedCall is a call with an id that was sent on a connection.
type carriedCall struct {
	id       string
	deadline time.Time // The request with this id is not sent again after it; zero if there is no limit.
}

// newPoolConn returns a connection on which nothing was sent.
func newPoolConn(conn net.Conn) *poolConn {
	head := &headReader{conn: conn}
	return &poolConn{Conn: conn, head: head, br: bufio.NewReaderSize(head, connBufferBytes)}
}

// setUserTimeout sets how long sent bytes may stay unacknowledged or unread before the
// kernel ends the connection.
func (c *poolConn) setUserTimeout(d time.Duration) error {
	if c.userTimeout == d {
		return nil
	}
	if err := setUserTimeout(c.Conn, d); err != nil {
		return err
	}
	c.userTimeout = d
	return nil
}

// hasCarried reports whether a call with this id was sent on the connection. A repeated
// response to that call could not be distinguished from one to a new call with the id.
func (c *poolConn) hasCarried(id string) bool {
	return id != "" && slices.ContainsFunc(c.carried, func(e carriedCall) bool { return e.id == id })
}

// recordCall records that a call is sent on the connection, and forgets calls whose
// deadline has passed.
func (c *poolConn) recordCall(call Call, now time.Time) {
	c.used = true
	if call.ID == "" {
		return
	}
	c.carried = slices.DeleteFunc(c.carried, func(e carriedCall) bool { return !e.deadline.IsZero() && e.deadline.Before(now) })
	c.carried = append(c.carried, carriedCall{id: call.ID, deadline: call.Limits.ResponseDeadline})
}
