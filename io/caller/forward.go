package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/fault"
)

// ForwardedRequest is a request to be forwarded unchanged, and the writer of its response. It may
// be used only by the goroutine of the handler.
type ForwardedRequest struct {
	Request  *http.Request
	Body     []byte
	Received time.Time

	x   *exchange
	ctx context.Context
}

// NewForwardingServer returns a server that calls handle for every request. handle must return
// after it has written the response. Listen starts the server.
func NewForwardingServer(handle func(*ForwardedRequest), logger log.Logger, opts ...Option) *Server {
	s := New(nil, logger, opts...)
	s.forwardHandler = handle
	return s
}

// serveForward reads the body and calls the forwarding handler.
func (s *Server) serveForward(x *exchange, received time.Time) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	x.setCancel(func(f *fault.Error) { cancel(f) })
	f := &ForwardedRequest{Request: x.req, Received: received, x: x, ctx: ctx}
	body, err := readBody(x.req.Body)
	if err != nil {
		x.writeError(fault.Wrap(err, fault.BadRequest, "cannot read the body"))
		return
	}
	f.Body = body
	s.forwardHandler(f)
}

// Context is cancelled when the caller disconnects, with a cause of kind
// CallerGone, and when the server closes.
func (f *ForwardedRequest) Context() context.Context { return f.ctx }

// WriteHeader sets the status and headers of the response. With a negative length the body is
// sent with chunked transfer coding.
func (f *ForwardedRequest) WriteHeader(status int, header http.Header, length int64) {
	f.x.started = true
	h := f.x.w.Header()
	for name, values := range header {
		h[name] = values
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	if length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	f.x.setLengthForHead()
	f.x.setConnectionClose()
	f.x.w.WriteHeader(statusWithReason(status))
}

// SetDeadline sets the deadline of the request. A Write waits longer only for a caller that
// reads on.
func (f *ForwardedRequest) SetDeadline(at time.Time) { f.x.deadline = at }

// Write sends body data and flushes it. It waits while the caller does not read. Its error
// tells why the answer can't be completed; the connection is then closed.
func (f *ForwardedRequest) Write(data []byte) error {
	if err := f.x.checkCaller(); err != nil {
		return err
	}
	return f.x.writeBody(data)
}

// Abort closes the connection, so that an incomplete response does not look complete.
func (f *ForwardedRequest) Abort() { _ = f.x.conn.nbc.Close() }
