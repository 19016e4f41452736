package caller

import (
	"errors"
	"sync"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"monsoonfork/core/fault"
)

// lingerTime is how long a refused connection is read and dropped, so that its
// caller can read the refusal before the connection is reset.
const lingerTime = 2 * time.Second

// conn is the connection of a caller.
type conn struct {
	nbc     *nbio.Conn
	limits  Limits
	metrics serverMetrics

	// Used by the poller of the connection alone.
	reading reading
	limited bool // The parser has the limiting processor.

	mu        sync.Mutex
	requestBy time.Time // When the request that is being read has to be whole.
	closeBy   time.Time // When the connection ends unless a request comes.
	refusal   *fault.Error
	cancel    func(*fault.Error) // Ends the request being handled; nil without one.
	handling  int                // Requests read whole and not answered.
	cancelled bool               // The request being handled was ended.
	last      bool               // No request is taken after the one that is being handled.
	quiet     int                // Sweeps since the last answer in which all of it was delivered.
	finished  bool               // The sending side was closed after the last answer.
	turned    bool               // The connection was turned away: what still comes is dropped.
}

// newConn returns the state of a new connection.
func newConn(nbc *nbio.Conn, limits Limits, m serverMetrics) *conn {
	return &conn{nbc: nbc, limits: limits, metrics: m, closeBy: time.Now().Add(limits.IdleTime)}
}

// feed takes bytes from the poller.
func (c *conn) feed(data []byte) {
	if c.takesNothing() {
		return
	}
	parser, ok := c.nbc.Session().(*nbhttp.Parser)
	if !ok {
		_ = c.nbc.Close()
		return
	}
	if !c.limited {
		parser.Processor = &limiter{Processor: parser.Processor, conn: c}
		c.limited = true
	}
	err := c.parse(parser, data)
	if !c.reading.headersDone && c.reading.started {
		c.reading.unparsed += len(data)
		if c.reading.unparsed > c.limits.HeaderBytes {
			c.refuse(fault.New(fault.RequestTooLarge, "headers above %d bytes", c.limits.HeaderBytes))
		}
	}
	c.endFeed(err)
}

// parse gives bytes to the parser, in pieces of which none goes beyond the head
// or the body of a request, so that the lines of each head can be checked.
func (c *conn) parse(parser *nbhttp.Parser, data []byte) error {
	for len(data) > 0 && !c.refused() && !c.takesNothing() {
		if !c.reading.started {
			c.startReading()
		}
		piece := data[:c.reading.pieceOf(data)]
		data = data[len(piece):]
		if c.reading.headersDone {
			c.reading.given += len(piece)
		} else if err := c.reading.lines.check(piece); err != nil {
			c.refuse(err)
			return nil
		}
		if err := parser.Parse(piece); err != nil {
			return err
		}
	}
	return nil
}

// startReading sets the time limit of a request whose first bytes come.
func (c *conn) startReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading.started = true
	if c.requestBy.IsZero() {
		c.requestBy = time.Now().Add(c.limits.RequestTime)
	}
}

// endFeed answers a request that is refused while it is read.
func (c *conn) endFeed(err error) {
	c.mu.Lock()
	refusal := c.refusal
	if refusal == nil && err != nil {
		refusal = refusalFor(err)
	}
	c.mu.Unlock()
	if refusal != nil {
		c.turnAway(refusal)
	}
}

// refusalFor returns the refusal for an error of the parser.
func refusalFor(err error) *fault.Error {
	if errors.Is(err, nbhttp.ErrTooLong) {
		return fault.Wrap(err, fault.RequestTooLarge, "the request is too large")
	}
	return fault.Wrap(err, fault.BadRequest, "malformed HTTP request: %v", err)
}

// refuse notes why the request being read is refused.
func (c *conn) refuse(err *fault.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusal == nil {
		c.refusal = err
	}
}

// turnAway answers with err and ends the connection. While another request of
// the connection is being answered, nothing may be written between its bytes.
func (c *conn) turnAway(err *fault.Error) {
	c.mu.Lock()
	again := c.turned
	busy := c.handling > 0
	c.turned = true
	c.refusal = err
	c.requestBy = time.Time{}
	c.closeBy = time.Now().Add(lingerTime)
	c.mu.Unlock()
	if again {
		return
	}
	c.metrics.refused.Inc(1)
	if busy {
		_ = c.nbc.Close()
		return
	}
	if _, werr := c.nbc.Write(rawAnswer(err)); werr != nil {
		return
	}
	shutdownWrite(c.nbc)
}

// takesNothing reports whether the connection was turned away, or its last
// request has come.
func (c *conn) takesNothing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.turned || c.last
}

// accept notes that a request was read whole, and whether its caller wants it to
// be the last one. It reports false if the request
// is refused, so that it must not be handled.
func (c *conn) accept(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refusal != nil {
		return false
	}
	c.requestBy = time.Time{}
	c.last = c.last || last
	c.handling++
	return true
}

// begin notes how to end the request that is being handled. If the caller has
// gone, it ends at once. A process that was suspended meets requests whose callers
// have closed behind them, and the poller has not read that far.
func (c *conn) begin(cancel func(*fault.Error)) {
	c.mu.Lock()
	c.cancel = cancel
	c.cancelled = false
	c.mu.Unlock()
	c.endIfGone(c.gone() || hungUp(c.nbc))
}

// endIfGone ends the request that is being handled if its caller has gone.
func (c *conn) endIfGone(gone bool) {
	if gone && c.cancelWith(fault.New(fault.CallerGone, "the caller closed its connection")) {
		c.metrics.gone.Inc(1)
	}
}

// cancelWith ends the request that is being handled, once, and reports whether there
// was one.
func (c *conn) cancelWith(why *fault.Error) bool {
	c.mu.Lock()
	cancel := c.cancel
	if c.cancelled {
		cancel = nil
	}
	if cancel != nil {
		c.cancelled = true
	}
	c.mu.Unlock()
	if cancel != nil {
		cancel(why)
	}
	return cancel != nil
}

// closeAfter makes the request that is being handled the last of its
// connection. The library would close it as soon as the answer is handed to it,
// from the goroutine of the handler: bytes that wait for a slow caller would be
// lost, and an event that a poller has already fetched for the descriptor would
// hit the next connection that gets the same descriptor. So the sending side is
// closed when the answer is delivered, and the poller closes the rest when the
// caller has closed too.
func (c *conn) closeAfter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = true
}

// leaveIdle makes a connection without a request take none any more, and closes its
// sending side at once: a request that comes from now on is not read, and its caller
// has to learn of it without delay.
func (c *conn) leaveIdle(now time.Time) {
	c.mu.Lock()
	idle := c.handling == 0 && c.requestBy.IsZero() && !c.last && !c.turned
	if idle {
		c.last = true
	}
	c.mu.Unlock()
	if idle && !unsent(c.nbc) {
		c.closeSending(now)
	}
}

// isLast reports whether no request is taken after the one being handled.
func (c *conn) isLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// finish closes the sending side of a connection whose last answer is delivered.
// It is called once a sweep.
func (c *conn) finish(now time.Time) {
	c.mu.Lock()
	waits := c.last && c.handling == 0 && !c.finished && !c.turned
	c.mu.Unlock()
	if !waits {
		return
	}
	if unsent(c.nbc) {
		c.quiet = 0
		return
	}
	c.quiet++
	if c.quiet < quietSweeps {
		return
	}
	c.closeSending(now)
}

// closeSending closes the sending side. The rest is closed when the caller has closed
// too, or after a while.
func (c *conn) closeSending(now time.Time) {
	c.mu.Lock()
	c.finished = true
	c.closeBy = now.Add(lingerTime)
	c.mu.Unlock()
	shutdownWrite(c.nbc)
}

// end notes that a request was handled.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = nil
	c.handling--
	c.closeBy = time.Now().Add(c.limits.IdleTime)
}

// gone reports whether the connection has ended. Within the library the flag
// is guarded by the connection's lock.
func (c *conn) gone() bool {
	c.nbc.Lock()
	defer c.nbc.Unlock()
	closed, _ := c.nbc.IsClosed()
	return closed
}

// check ends the request of a caller that has gone, turns away a request that
// was not read whole in time, and closes an idle connection. The library tells a
// handler of neither: the context of a request is not cancelled, and Write goes
// on without an error.
func (c *conn) check(now time.Time) {
	gone := c.gone()
	c.endIfGone(gone)
	c.mu.Lock()
	late := !c.requestBy.IsZero() && now.After(c.requestBy)
	var timeout *fault.Error
	if late {
		timeout = fault.New(fault.RequestTimeout, "the request did not come within %v", c.limits.RequestTime)
		c.refusal = timeout
	}
	idle := c.handling == 0 && c.requestBy.IsZero() && now.After(c.closeBy)
	c.mu.Unlock()
	if idle && !late {
		_ = c.nbc.Close()
		return
	}
	if late && !gone {
		c.turnAway(timeout)
	}
}
