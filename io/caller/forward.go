package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/fault"
)

// Forward is one request that is passed on as it is, and its answer. Only the
// goroutine of the handler uses it.
type Forward struct {
	Request  *http.Request
	Body     []byte
	Received time.Time

	x   *exchange
	ctx context.Context
}

// NewForwarding returns a server that gives every request to handle, which
// returns when the answer is written. It does not listen yet.
func NewForwarding(handle func(*Forward), logger log.Logger, opts ...Option) *Server {
	s := New(nil, logger, opts...)
	s.forward = handle
	return s
}

// serveForward gives a request to the handler.
func (s *Server) serveForward(x *exchange, received time.Time) {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	x.conn.begin(func(f *fault.Error) { cancel(f) })
	f := &Forward{Request: x.r, Received: received, x: x, ctx: ctx}
	body, err := io.ReadAll(x.r.Body)
	if err != nil {
		x.fail(fault.Wrap(err, fault.BadRequest, "cannot read the body"))
		return
	}
	f.Body = body
	s.forward(f)
}

// Context ends when the caller has gone; the cause has kind CallerGone.
func (f *Forward) Context() context.Context { return f.ctx }

// Begin gives the head of the answer to the caller. A negative length means that
// the body goes out in chunks.
func (f *Forward) Begin(status int, header http.Header, length int64) {
	f.x.begun = true
	h := f.x.w.Header()
	for name, values := range header {
		h[name] = values
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	if length >= 0 && status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	f.x.markLast()
	f.x.w.WriteHeader(knownStatus(status))
}

// Write sends a piece of the body at once. The error has kind CallerGone.
func (f *Forward) Write(piece []byte) error {
	if err := f.x.gone(); err != nil {
		return err
	}
	if _, err := f.x.w.Write(piece); err != nil {
		return fault.Wrap(err, fault.CallerGone, "cannot write to the caller")
	}
	f.x.w.Flush()
	return nil
}

// Cut ends the connection, so that an answer that has begun does not look whole.
func (f *Forward) Cut() { _ = f.x.conn.nbc.Close() }
