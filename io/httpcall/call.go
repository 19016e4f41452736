package httpcall

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// RequestIDHeader carries the id of a request or attempt.
const RequestIDHeader = "X-Request-Id"

// Call is one HTTP call.
type Call struct {
	Address ident.Address
	Host    string // Of the Host header; Address if empty.
	Method  string
	Target  string      // Path and query.
	Header  http.Header // Without hop-by-hop headers.
	Body    []byte
	ID      string // Sent as X-Request-Id; an answer that names another id is refused.
	Limits  Limits

	// BeforeSend is called right before the write. Its error ends the call, of
	// which nothing was sent. May be nil.
	BeforeSend func() error

	// UsedSince is for a Pool: a kept connection that was idle before is not used.
	UsedSince time.Time
}

// Head is the status line and the headers of an answer.
type Head struct {
	Status int
	Header http.Header
	Length int64 // Of the body; -1 if unknown. Only a Pool sets it.
}

// Sink takes an answer as it arrives. An error from either function ends the
// call with that error.
type Sink struct {
	OnHead  func(Head) error
	OnPiece func([]byte) error // May be nil. The piece is the receiver's to keep.
}

// Do makes the call and returns when the whole answer was handed to the sink.
// Every error is a *fault.Error whose Ran is NotRun only if no byte was given
// to a connection. When ctx is cancelled with a *fault.Error as its cause, the
// error has the kind of that cause.
func (c *Client) Do(ctx context.Context, call Call, sink Sink) error {
	if !c.begin() {
		return fault.New(fault.ShuttingDown, "the HTTP client is closed")
	}
	defer c.calls.Done()
	err := c.do(ctx, call, sink)
	if err != nil {
		c.counters.failed.Inc(1)
		return err
	}
	return nil
}

// do runs the stages of the call.
func (c *Client) do(ctx context.Context, call Call, sink Sink) error {
	message, err := encode(call)
	if err != nil {
		return err
	}
	conn, err := c.dial(ctx, call)
	if err != nil {
		return err
	}
	if err := boundDelivery(conn, call.Limits.DeliverWithin); err != nil {
		_ = conn.Close()
		return err
	}
	x := newExchange(call, c.maxBytes)
	nbc, err := c.attach(conn, x)
	if err != nil {
		return err
	}
	defer func() { _ = nbc.Close() }()
	if ctx.Err() != nil {
		return cancelled(ctx, fault.NotRun)
	}
	if by := call.Limits.SendBy; !by.IsZero() && !time.Now().Before(by) {
		return fault.New(fault.DeadlineExceeded, "the time to send the call has passed").WithRan(fault.NotRun)
	}
	if call.BeforeSend != nil {
		if err := call.BeforeSend(); err != nil {
			return fault.From(err).WithRan(fault.NotRun)
		}
	}
	// From here on the endpoint may have the call, whatever Write returns.
	if _, err := nbc.Write(message); err != nil {
		return fault.Wrap(err, fault.EndpointFailed, "the connection failed while the call was sent")
	}
	return c.receive(ctx, call, x, sink)
}

// dial connects within the limits of the call.
func (c *Client) dial(ctx context.Context, call Call) (net.Conn, error) {
	started := time.Now()
	conn, err := dialEndpoint(ctx, call)
	if err != nil {
		return nil, err
	}
	c.counters.dial.UpdateSince(started)
	return conn, nil
}

// dialEndpoint connects within the limits of the call.
func dialEndpoint(ctx context.Context, call Call) (net.Conn, error) {
	if ctx.Err() != nil {
		return nil, cancelled(ctx, fault.NotRun)
	}
	by := earliest(call.Limits.ConnectBy, call.Limits.WholeBy)
	dialer := net.Dialer{Deadline: by, KeepAliveConfig: keepAlive}
	conn, err := dialer.DialContext(ctx, "tcp", string(call.Address))
	if err == nil {
		return conn, nil
	}
	if ctx.Err() != nil {
		return nil, cancelled(ctx, fault.NotRun)
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return nil, fault.Wrap(err, fault.EndpointTimeout, "the endpoint did not accept a connection in time").WithRan(fault.NotRun)
	}
	return nil, fault.Wrap(err, fault.EndpointFailed, "cannot connect to the endpoint").WithRan(fault.NotRun)
}

// keepAlive makes the kernel notice a connection that has gone silent while an
// answer is waited for.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// attach gives the connection to the poller with x as its processor.
func (c *Client) attach(conn net.Conn, x *exchange) (*nbio.Conn, error) {
	nbc, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close()
		return nil, fault.Wrap(err, fault.Internal, "cannot hand the connection to the poller").WithRan(fault.NotRun)
	}
	// The lock orders all of this before the poller's first use of it, also when the
	// endpoint closes the connection before anything is written: the poller takes the
	// lock when a connection ends.
	nbc.Lock()
	parser := nbhttp.NewParser(nbc, c.engine, x, true, nbc.Execute)
	nbc.SetSession(parser)
	nbc.OnData(func(conn *nbio.Conn, data []byte) {
		x.touch()
		c.engine.DataHandler(conn, data)
	})
	nbc.Unlock()
	if _, err := c.engine.AddConn(nbc); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot hand the connection to the poller").WithRan(fault.NotRun)
	}
	return nbc, nil
}

// encode writes the call as an HTTP/1.1 message.
func encode(call Call) ([]byte, error) {
	if !validTarget(call.Target) {
		return nil, fault.New(fault.BadRequest, "invalid path %q", call.Target)
	}
	var b bytes.Buffer
	b.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\n")
	host := call.Host
	if host == "" {
		host = string(call.Address)
	}
	if strings.ContainsAny(host, " \r\n\t\x00") {
		return nil, fault.New(fault.BadRequest, "invalid host %q", host)
	}
	b.WriteString("Host: " + host + "\r\n")
	h := call.Header.Clone()
	if h == nil {
		h = http.Header{}
	}
	for _, name := range framingHeaders {
		h.Del(name)
	}
	if call.ID != "" {
		h.Set(RequestIDHeader, call.ID)
	}
	if len(call.Body) > 0 || call.Method == http.MethodPost || call.Method == http.MethodPut {
		h.Set("Content-Length", strconv.Itoa(len(call.Body)))
	}
	// Header.Write replaces line breaks in values, so that a value can't start
	// a header of its own.
	if err := h.Write(&b); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot write the call").WithRan(fault.NotRun)
	}
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes(), nil
}

// framingHeaders are set by encode alone.
var framingHeaders = []string{"Host", "Content-Length", "Transfer-Encoding", "Trailer", "Expect"}

// validTarget reports whether a path and query can stand in a request line.
func validTarget(target string) bool {
	return strings.HasPrefix(target, "/") && !strings.ContainsAny(target, " \r\n\t\x00")
}

// cancelled returns the error for a cancelled context.
func cancelled(ctx context.Context, ran fault.Ran) *fault.Error {
	return fault.From(context.Cause(ctx)).WithRan(ran)
}

// earliest returns the earlier of two times, of which zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
