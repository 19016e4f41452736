package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"monsoonfork/core/contain"
	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membudget"
	"monsoonfork/core/request"
	"monsoonfork/core/text"
	"monsoonfork/io/httpcall"
)

// exchange is a request and its response.
type exchange struct {
	server     *Server
	conn       *conn
	w          *nbhttp.Response
	req        *http.Request
	id         ident.RequestID // Unique; begins with the caller's X-Request-Id, if any.
	responseID string          // The caller's X-Request-Id, or id; sent in the response.
	received   time.Time
	deadline   time.Time // Deadline of a forwarded request; zero while unknown.
	session    *request.Session
	started    bool // Status and headers of the response were set.
	errorSent  bool // The response ends with an error event.
}

// serve is the HTTP handler of the server.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	nbc := nbioConnOf(response)
	c := s.conns.get(nbc)
	if c == nil {
		return
	}
	defer c.clearCancel()
	s.openRequests.Add(1)
	defer s.openRequests.Add(-1)
	s.metrics.requests.Inc(1)
	received := time.Now()
	defer func() { s.metrics.responseTime.UpdateSince(received) }()
	if r.Close {
		// nbhttp would close the connection from this goroutine; see markLastRequest.
		r.Close = false
		c.markLastRequest()
	}
	id := ident.RequestID(r.Header.Get(httpcall.RequestIDHeader))
	c.handled.Store(&id)
	x := &exchange{server: s, conn: c, w: response, req: r, received: received}
	if s.closing.Load() {
		x.refuseDuringClose()
		return
	}
	if x.awaitSpace() != nil { // The caller reads no answers to earlier requests.
		return
	}
	if p := contain.Call(func() { x.serve(received) }); p != nil {
		x.reportPanic(p)
	}
}

// refuseDuringClose refuses a request that has arrived since the server closes, and makes it
// the last one of its connection.
func (x *exchange) refuseDuringClose() {
	x.responseID = x.req.Header.Get(httpcall.RequestIDHeader)
	x.id = ident.RequestID(x.responseID) // For the log line: the refusal is the request's outcome.
	x.conn.markLastRequest()
	err := errClosing.WithRan(fault.NotRun)
	x.logRejection(err)
	x.writeError(err)
}

// setCancel sets the function that cancels the request, and calls it at once if the server has
// begun to close: Close has then cancelled the requests that it found before.
func (x *exchange) setCancel(cancel func(*fault.Error)) {
	x.conn.setCancel(cancel)
	if x.server.closing.Load() {
		x.conn.cancelWith(errClosing)
	}
}

// serve passes the request to the forwarding handler or serves it.
func (x *exchange) serve(received time.Time) {
	if x.server.forwardHandler != nil {
		x.server.serveForward(x, received)
		return
	}
	if err := x.handle(received); err != nil {
		x.logRejection(err)
		x.writeError(err)
	}
}

// setConnectionClose sets "Connection: close" if the connection is closed after the
// response. Each response calls it just before it writes its headers, so that a stop that
// began during the request is announced.
func (x *exchange) setConnectionClose() {
	if x.conn.isLastResponse(x.server.announcing.Load() || x.server.draining.Load()) {
		x.w.Header().Set("Connection", "close")
	}
}

// reportPanic logs a panic of the handler and sends an internal error, which does not state
// that the request was not run. nbio would discard the panic, and the caller would get no
// answer.
func (x *exchange) reportPanic(p *contain.Panic) {
	if x.responseID == "" {
		x.responseID = x.req.Header.Get(httpcall.RequestIDHeader)
	}
	_ = level.Error(x.server.log).Log("msg", event.HandlerPanicked, "request", x.responseID, "err", p.Cause, "stack", p.Stack)
	x.writeError(fault.New(fault.Internal, "internal error"))
}

// logRejection logs a request that was rejected before a session was opened. A session
// logs the outcome of its request itself.
func (x *exchange) logRejection(err error) {
	if x.session != nil {
		return
	}
	f := fault.From(err)
	_ = level.Info(x.server.log).Log("msg", event.RequestRefused, "request", string(x.id), "kind", f.Kind, "ran", f.Ran, "err", f)
}

// nbioConnOf returns the nbio connection of a response.
func nbioConnOf(w *nbhttp.Response) *nbio.Conn {
	c := w.Parser.Conn
	if counting, ok := c.(*countingConn); ok {
		c = counting.Conn
	}
	if wrapped, ok := c.(*nbhttp.Conn); ok {
		c = wrapped.Conn
	}
	nbc, _ := c.(*nbio.Conn)
	return nbc
}

// handle authenticates the request, opens its session and serves it.
func (x *exchange) handle(received time.Time) (err error) {
	if err := x.setRequestID(); err != nil {
		return err
	}
	if limit := x.server.limits.current.MaxOpenRequests; x.server.openRequests.Load() > limit {
		return fault.New(fault.Overloaded, "the instance has reached its limit of %d open requests", limit).WithRetryAfter(received.Add(time.Second))
	}
	credential, err := parseCredential(x.req)
	if err != nil {
		return err
	}
	if credential.foundIn(x.responseID) {
		return fault.New(fault.BadRequest, "the API key is allowed in the Authorization header only")
	}
	session, err := x.server.pipeline.Open(context.Background(), request.RequestInfo{
		ID:       x.id,
		Method:   x.req.Method,
		Path:     x.req.URL.Path,
		Token:    credential.token,
		Received: received,
	})
	if err != nil {
		return err
	}
	x.session = session
	x.setCancel(session.Cancel)
	defer func() { session.Close(err) }()
	body, err := readBody(x.req.Body)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "cannot read the body")
	}
	if err := credential.checkBody(body); err != nil {
		return err
	}
	if session.Service.Kind == text.ModelService {
		return x.handleCompletion(credential, body)
	}
	return x.handlePlainCall(credential, body)
}

// setRequestID sets the ids of the request from the caller's X-Request-Id, or generates
// them. A unique suffix distinguishes requests with the same X-Request-Id, so that an
// engine can't mistake one for the other.
func (x *exchange) setRequestID() error {
	callerID := x.req.Header.Get(httpcall.RequestIDHeader)
	x.id = ident.NewRequestID()
	x.responseID = string(x.id)
	if callerID == "" {
		return nil
	}
	if !validID(callerID) {
		return fault.New(fault.BadRequest, "%s must be 1 to %d letters, digits, '.', '_' or '-'", httpcall.RequestIDHeader, maxIDBytes)
	}
	x.id = ident.RequestID(callerID) + "-" + x.id
	x.responseID = callerID
	return nil
}

// maxIDBytes is the maximum length of an X-Request-Id.
const maxIDBytes = 64

// validID reports whether a caller's X-Request-Id is valid.
func validID(id string) bool {
	if len(id) > maxIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		switch {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '.', c == '_', c == '-':
		default:
			return false
		}
	}
	return id != ""
}

// checkCaller returns an error if the connection is closed: of kind CallerGone, unless the
// server has closed it for another reason.
func (x *exchange) checkCaller() error {
	if !x.conn.isClosed() {
		return nil
	}
	if reason := x.conn.endReason.Load(); reason != nil {
		return reason
	}
	return fault.New(fault.CallerGone, "the caller closed its connection")
}

// maxWriteBytes is the largest piece of a body that is passed to nbhttp at once. With a
// piece of 64 KB or more in chunked coding, nbhttp v1.6.8 frees its buffer, which other
// responses use too, and continues using it.
const maxWriteBytes = 32 << 10

// sendsBody reports whether the response may have a body. nbhttp would send one that a
// handler writes for HEAD.
func (x *exchange) sendsBody() bool { return x.req.Method != http.MethodHead }

// setLengthForHead sets a Content-Length in a response to HEAD that has none. nbhttp would
// choose chunked coding and send the end of a chunked body.
func (x *exchange) setLengthForHead() {
	if h := x.w.Header(); !x.sendsBody() && h.Get("Content-Length") == "" {
		h.Set("Content-Length", "0")
	}
}

// writeBody sends body data and flushes each piece. It waits while the caller does not read;
// see awaitSpace for the end of the wait. What is not written yet counts as held.
func (x *exchange) writeBody(data []byte) error {
	if !x.sendsBody() {
		return nil
	}
	holder := x.conn.unsent.holder
	holder.Add(membudget.Bytes(len(data)))
	defer func() { holder.Release(membudget.Bytes(len(data))) }()
	for len(data) > 0 {
		if err := x.awaitSpace(); err != nil {
			return err
		}
		piece := data[:min(len(data), maxWriteBytes)]
		data = data[len(piece):]
		holder.Release(membudget.Bytes(len(piece)))
		if _, err := x.w.Write(piece); err != nil {
			return fault.Wrap(err, fault.CallerGone, "cannot write to the caller")
		}
		x.w.Flush()
	}
	return nil
}
