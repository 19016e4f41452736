package caller

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membudget"
)

// lingerTime is how long input is read and discarded after the sending side of a
// connection was closed. Closing with unread input would reset the connection, and
// the caller might lose the response.
const lingerTime = 2 * time.Second

// conn is the state of a caller's connection.
type conn struct {
	nbc      *nbio.Conn
	limits   *limitHistory
	requests *requestMemory
	memory   requestHolder // Memory of all requests of the connection.
	metrics  serverMetrics
	unsent   *unsentBytes

	// Accessed only by the goroutine of the connection's poller.
	progress         requestProgress
	limiterInstalled bool            // The parser's processor is wrapped in a limiter.
	unparsed         membudget.Bytes // Input after the segment being parsed.
	completedSize    requestSize     // Memory of the request that was read completely.

	// Accessed only by the sweep.
	ackedBytes int64 // Bytes that the caller's host had acknowledged at the last check.

	waitDeadline atomic.Pointer[time.Time]       // Deadline of the request whose write waits for the caller to read; nil without one.
	endReason    atomic.Pointer[fault.Error]     // Why the server has closed the connection before the end of an answer.
	handled      atomic.Pointer[ident.RequestID] // The X-Request-Id of the request handled last.

	mu              sync.Mutex
	readSize        requestSize        // Memory of the request being read.
	readSince       time.Time          // When the first byte of the request being read arrived.
	requestDeadline time.Time          // When the request being read must be complete; zero without one.
	idleSince       time.Time          // When the last request ended, or the connection was opened.
	closeDeadline   time.Time          // When the connection is closed unless a request is read or handled.
	delivering      bool               // The caller's host may not have acknowledged the last response yet.
	rejection       *fault.Error       // Why the request being read is rejected; nil if it is not.
	cancel          func(*fault.Error) // Cancels the request being handled; nil without one.
	activeRequests  int                // Requests read completely whose response is not yet written.
	cancelled       bool               // The request being handled was cancelled.
	lastRequest     bool               // No request is accepted after the one being handled.
	deliveredSweeps int                // Successive calls of closeWriteIfDelivered that found all sent bytes acknowledged.
	deliveryCheck   time.Time          // Before this time the last response does not count as delivered.
	closedIdleAt    time.Time          // When a drain closed the connection unannounced; zero if not, or once logged.
	writeClosed     bool               // The sending side was closed after the last response.
	discarding      bool               // A rejection was sent: further input is discarded.
	reading         bool               // The poller is reading and parsing input.
	readChanged     *sync.Cond         // Signalled when reading becomes false, or a request is begun or rejected.
	closing         bool               // The connection is being closed, or is about to be, and is no longer read.
}

// newConn returns the state of a new connection, whose unsent bytes holder counts.
func newConn(nbc *nbio.Conn, limits *limitHistory, requests *requestMemory, m serverMetrics, holder *membudget.Holder) *conn {
	now := time.Now()
	c := &conn{nbc: nbc, limits: limits, requests: requests, memory: requests.open(now), metrics: m, unsent: newUnsentBytes(holder)}
	c.readChanged = sync.NewCond(&c.mu)
	c.startIdleTime(now)
	return c
}

// beginRead records that the poller is about to read input. It returns false if the
// connection is being closed and must not be read.
func (c *conn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = !c.closing
	return c.reading
}

// stopReading makes the poller read no further input. What it is reading now is parsed.
func (c *conn) stopReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
}

// endRead records that the poller has parsed all input that it has read.
func (c *conn) endRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	c.readChanged.Broadcast()
}

// hasInput reports whether input has arrived that is not parsed yet. The caller must hold
// c.mu, so that it can stop the connection from being read before more is parsed.
func (c *conn) hasInput() bool { return c.reading || hasUnread(c.nbc) }

// feed parses bytes that the poller has read.
func (c *conn) feed(data []byte) {
	if c.ignoresInput() {
		return
	}
	if !c.reserveInput(requestSize{input: membudget.Bytes(len(data))}) {
		c.rejectFailed(nil)
		return
	}
	parser := c.parser()
	if parser == nil {
		return
	}
	if !c.limiterInstalled {
		parser.Processor = &limiter{Processor: parser.Processor, conn: c}
		parser.Execute = c.executeRequest
		parser.Conn = &countingConn{Conn: parser.Conn, unsent: c.unsent}
		c.limiterInstalled = true
	}
	err := c.parse(parser, data)
	if !c.progress.headersComplete && c.progress.started {
		c.progress.unparsedHeaderBytes += len(data)
		if c.progress.unparsedHeaderBytes > c.progress.limits.MaxHeaderBytes {
			c.reject(fault.New(fault.RequestTooLarge, "headers larger than %d bytes", c.progress.limits.MaxHeaderBytes))
		}
	}
	c.rejectFailed(err)
}

// parser returns the connection's parser, or nil if dropParser has dropped it.
func (c *conn) parser() *nbhttp.Parser {
	c.mu.Lock()
	defer c.mu.Unlock()
	parser, _ := c.nbc.Session().(*nbhttp.Parser)
	return parser
}

// dropParser frees what the parser holds of a rejected request. It must be called by a job of
// the connection, as nbhttp cleans up the parser of a closed connection in another one.
func (c *conn) dropParser() {
	parser := c.parser()
	if parser == nil {
		return
	}
	c.mu.Lock()
	c.nbc.SetSession(nil)
	c.mu.Unlock()
	parser.CloseAndClean(net.ErrClosed)
}

// parse passes bytes to the parser in segments that never extend beyond the header
// section or the body of a request, so that headerChecker sees each header line before
// the parser does.
func (c *conn) parse(parser *nbhttp.Parser, data []byte) error {
	for len(data) > 0 && !c.isRejected() && !c.ignoresInput() {
		if !c.progress.started {
			c.startRequest()
			if !c.reserveInput(requestSize{state: requestBytes}) {
				return nil
			}
		}
		segment := data[:c.progress.segmentLen(data)]
		data = data[len(segment):]
		c.unparsed = membudget.Bytes(len(data))
		if c.progress.headersComplete {
			c.progress.parsedBodyBytes += len(segment)
			c.progress.bufferedBodyBytes += len(segment)
		} else if err := c.progress.headers.check(segment); err != nil {
			c.reject(err)
			return nil
		}
		if err := parser.Parse(segment); err != nil {
			return err
		}
		if c.progress.bufferedBodyBytes > c.progress.limits.MaxBodyBytes+c.progress.limits.MaxHeaderBytes {
			c.reject(bodyTooLarge(c.progress.limits))
		}
	}
	return nil
}

// startRequest starts the timeout of a request whose first byte has arrived.
func (c *conn) startRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.progress.started = true
	c.readSince = now
	c.progress.limits = c.limits.at(now)
	c.progress.bodyDeadline = now.Add(c.progress.limits.RequestTimeout)
	if c.requestDeadline.IsZero() {
		c.requestDeadline = now.Add(min(c.progress.limits.HeaderTimeout, c.progress.limits.RequestTimeout))
	}
	c.readChanged.Broadcast()
}

// startBody replaces the timeout of the headers by that of the whole request.
func (c *conn) startBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestDeadline.IsZero() {
		c.requestDeadline = c.progress.bodyDeadline
	}
}

// rejectFailed sends the rejection of a request that failed to parse or exceeded a
// limit.
func (c *conn) rejectFailed(err error) {
	c.mu.Lock()
	rejection := c.rejection
	if rejection == nil && err != nil {
		rejection = parseError(err)
	}
	c.mu.Unlock()
	if rejection != nil {
		c.sendRejection(rejection)
	}
}

// parseError returns the rejection for an error of the parser.
func parseError(err error) *fault.Error {
	if errors.Is(err, nbhttp.ErrTooLong) {
		return fault.Wrap(err, fault.RequestTooLarge, "the request is too large")
	}
	return fault.Wrap(err, fault.BadRequest, "malformed HTTP request: %v", err)
}

// reject records why the request being read is rejected; the first reason is kept.
func (c *conn) reject(err *fault.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejection == nil {
		c.rejection = err
	}
}

// sendRejection responds with err, after the responses to earlier requests of the
// connection, and makes it the last response. It counts as a request until it is written.
func (c *conn) sendRejection(err *fault.Error) {
	c.mu.Lock()
	alreadyDiscarding := c.discarding
	c.discarding = true
	c.lastRequest = true
	c.rejection = err
	c.requestDeadline = time.Time{}
	if !alreadyDiscarding {
		c.activeRequests++
	}
	c.readChanged.Broadcast()
	c.mu.Unlock()
	if alreadyDiscarding {
		return
	}
	c.metrics.rejected.Inc(1)
	c.dropInput()
	c.execute(func() {
		_, _ = c.unsent.writeTo(c.nbc, rawErrorResponse(err))
		c.dropParser()
	})
}

// ignoresInput reports whether a rejection was sent or the last request of the
// connection has been accepted.
func (c *conn) ignoresInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.discarding || c.lastRequest
}

// accept records that a request was read completely; last is true if the request has
// "Connection: close". It returns false if the request was rejected and must not be
// handled.
func (c *conn) accept(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.rejection != nil {
		return false
	}
	c.requestDeadline = time.Time{}
	c.lastRequest = c.lastRequest || last
	c.activeRequests++
	c.completedSize = c.takeReadSize()
	return true
}

// setCancel sets the function that cancels the request being handled, and calls it at
// once if the caller has disconnected. After the process was suspended, callers may
// have closed connections right after their request, and the poller may not yet have
// read up to the close.
func (c *conn) setCancel(cancel func(*fault.Error)) {
	c.mu.Lock()
	c.cancel = cancel
	c.cancelled = false
	c.mu.Unlock()
	c.cancelIfDisconnected(c.isClosed() || peerClosed(c.nbc))
}

// cancelIfDisconnected cancels the request being handled if its caller has
// disconnected.
func (c *conn) cancelIfDisconnected(disconnected bool) {
	if disconnected && c.cancelWith(fault.New(fault.CallerGone, "the caller closed its connection")) {
		c.metrics.disconnected.Inc(1)
	}
}

// cancelWith cancels the request being handled, unless that was done before, and
// reports whether it did.
func (c *conn) cancelWith(cause *fault.Error) bool {
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
		cancel(cause)
	}
	return cancel != nil
}

// executeRequest queues a request that the parser has completed. Its memory is released when it
// ends.
func (c *conn) executeRequest(handle func()) bool {
	held := c.completedSize
	queued := c.execute(func() {
		defer c.memory.release(held)
		handle()
	})
	if !queued {
		c.memory.release(held)
	}
	return queued
}

// execute queues an accepted request. handle calls the handler and writes what is buffered
// of its response; only then does the request end. It returns false if the connection is
// closed.
func (c *conn) execute(handle func()) bool {
	queued := c.nbc.Execute(func() {
		defer c.endRequest()
		handle()
	})
	if !queued {
		c.endRequest()
	}
	return queued
}

// clearCancel records that the handler of a request has returned.
func (c *conn) clearCancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = nil
}

// endRequest records that the response to a request is written.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeRequests--
	c.delivering = true
	c.startIdleTime(time.Now())
}

// requestID returns the X-Request-Id of the request handled last, or "" without one.
func (c *conn) requestID() ident.RequestID {
	if id := c.handled.Load(); id != nil {
		return *id
	}
	return ""
}
