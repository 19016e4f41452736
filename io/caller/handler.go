package caller

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/request"
	"monsoonfork/core/text"
	"monsoonfork/io/httpcall"
)

// exchange is one request and its answer.
type exchange struct {
	server  *Server
	conn    *conn
	w       *nbhttp.Response
	r       *http.Request
	id      ident.RequestID // Unique; begins with the caller's id, if it gave one.
	shownID string          // The id that the caller gave, or id.
	session *request.Session
	begun   bool // The head of the answer was given to the library.
	ended   bool // The error is in the answer.
}

// serve handles one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	response, ok := w.(*nbhttp.Response)
	if !ok {
		return
	}
	nbc := connOf(response)
	c := s.conns.get(nbc)
	if c == nil {
		return
	}
	defer c.end()
	s.open.Add(1)
	defer s.open.Add(-1)
	s.metrics.requests.Inc(1)
	received := time.Now()
	defer func() { s.metrics.answers.UpdateSince(received) }()
	if r.Close || s.draining.Load() {
		// The library would close the connection from this goroutine.
		r.Close = false
		c.closeAfter()
	}
	x := &exchange{server: s, conn: c, w: response, r: r}
	x.markLast()
	if s.forward != nil {
		s.serveForward(x, received)
		return
	}
	if err := x.handle(received); err != nil {
		x.logRefusal(err)
		x.fail(err)
	}
}

// markLast tells the caller if its connection ends after the answer.
func (x *exchange) markLast() {
	if x.conn.isLast() {
		x.w.Header().Set("Connection", "close")
	}
}

// logRefusal logs a request that was refused before it had a session, which
// logs its end from then on.
func (x *exchange) logRefusal(err error) {
	if x.session != nil {
		return
	}
	f := fault.From(err)
	_ = level.Info(x.server.log).Log("msg", event.RequestRefused, "request", string(x.id), "kind", f.Kind, "ran", f.Ran, "err", f)
}

// connOf returns the connection of a response.
func connOf(w *nbhttp.Response) *nbio.Conn {
	if wrapped, ok := w.Parser.Conn.(*nbhttp.Conn); ok {
		if nbc, ok := wrapped.Conn.(*nbio.Conn); ok {
			return nbc
		}
	}
	nbc, _ := w.Parser.Conn.(*nbio.Conn)
	return nbc
}

// handle takes the request through its stages.
func (x *exchange) handle(received time.Time) (err error) {
	if err := x.takeID(); err != nil {
		return err
	}
	if x.server.open.Load() > x.server.limits.OpenRequests {
		return fault.New(fault.Overloaded, "the instance has %d requests open", x.server.limits.OpenRequests).WithRetryAfter(received.Add(time.Second))
	}
	credential, err := takeCredential(x.r)
	if err != nil {
		return err
	}
	if credential.in(x.shownID) {
		return fault.New(fault.BadRequest, "the key may stand in the Authorization header only")
	}
	session, err := x.server.path.Open(context.Background(), request.RequestInfo{
		ID:       x.id,
		Method:   x.r.Method,
		Path:     x.r.URL.Path,
		Token:    credential.token,
		Received: received,
	})
	if err != nil {
		return err
	}
	x.session = session
	x.conn.begin(session.Cancel)
	defer func() { session.Close(err) }()
	body, err := io.ReadAll(x.r.Body)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "cannot read the body")
	}
	if err := credential.checkBody(body); err != nil {
		return err
	}
	if session.Service.Kind == text.ModelService {
		return x.completion(credential, body)
	}
	return x.plain(credential, body)
}

// takeID takes the caller's X-Request-Id, or makes one. Two requests with the
// same id of their callers get different ids here, so that neither can be taken
// for the other at an engine.
func (x *exchange) takeID() error {
	given := x.r.Header.Get(httpcall.RequestIDHeader)
	x.id = ident.NewRequestID()
	x.shownID = string(x.id)
	if given == "" {
		return nil
	}
	if !validID(given) {
		return fault.New(fault.BadRequest, "%s must be 1 to %d letters, digits, '.', '_' or '-'", httpcall.RequestIDHeader, maxIDBytes)
	}
	x.id = ident.RequestID(given) + "-" + x.id
	x.shownID = given
	return nil
}

// maxIDBytes is the longest X-Request-Id that is accepted.
const maxIDBytes = 64

// validID reports whether a caller's X-Request-Id can be used.
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

// gone returns an error if the caller has gone.
func (x *exchange) gone() error {
	if x.conn.gone() {
		return fault.New(fault.CallerGone, "the caller closed its connection")
	}
	return nil
}
