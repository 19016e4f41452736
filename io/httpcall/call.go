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

	"monsoonfork/core/endpoint"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// RequestIDHeader is the header with the id of a request or attempt.
const RequestIDHeader = "X-Request-Id"

// Call is an HTTP request to an endpoint.
type Call struct {
	Address ident.Address
	Host    string // Value of the Host header; Address if empty.
	Method  string
	Target  string      // Path and query.
	Header  http.Header // Without hop-by-hop headers.
	Body    []byte
	ID      string // Sent as X-Request-Id; a response with a different id is rejected.
	Limits  endpoint.Limits

	// BeforeSend is called right before the request is written. If it returns an
	// error, nothing is sent and the call fails with that error. May be nil.
	BeforeSend func() error

	// PooledSince excludes pooled connections whose last call ended before it. Only
	// Pool uses it.
	PooledSince time.Time

	// MaxConnections is how many connections to the address the pool may have open, used and
	// idle ones. It closes idle ones beyond that, but ends and refuses no call. Zero means no
	// limit. Only Pool uses it.
	MaxConnections int
}

// Do makes the call and returns when the complete response was passed to the sink.
// Every error is a *fault.Error. Its Ran is NotRun only if no byte was written to a
// connection. If ctx is cancelled with a *fault.Error as its cause, the error has the
// kind of that cause.
func (c *Client) Do(ctx context.Context, call Call, sink endpoint.Sink) error {
	if !c.begin() {
		return fault.New(fault.ShuttingDown, "the HTTP client is closed")
	}
	defer c.runningCalls.Done()
	err := c.do(ctx, call, sink)
	if err != nil {
		c.counters.failed.Inc(1)
		c.report.record(call, err)
		return err
	}
	return nil
}

// do connects, writes the request and receives the response.
func (c *Client) do(ctx context.Context, call Call, sink endpoint.Sink) error {
	message, err := encode(call)
	if err != nil {
		return err
	}
	conn, err := c.dial(ctx, call)
	if err != nil {
		return err
	}
	if err := limitDelivery(conn, call.Limits.DeliveryTimeout); err != nil {
		_ = conn.Close()
		return err
	}
	x := newExchange(call, c.maxBytes)
	nbc, err := c.attachToPoller(ctx, conn, x)
	if err != nil {
		return err
	}
	defer func() { _ = nbc.Close() }()
	if ctx.Err() != nil {
		return cancellationError(ctx, fault.NotRun)
	}
	if deadline := call.Limits.SendDeadline; !deadline.IsZero() && !time.Now().Before(deadline) {
		return sendDeadlineError()
	}
	if call.BeforeSend != nil {
		if err := call.BeforeSend(); err != nil {
			return fault.From(err).WithRan(fault.NotRun)
		}
	}
	// From here on the endpoint may have received the request, whatever Write returns.
	if _, err := nbc.Write(message); err != nil {
		return fault.Wrap(err, fault.EndpointFailed, "the connection failed while the request was sent")
	}
	return c.receive(ctx, call, nbc, x, sink)
}

// dial connects to the endpoint and records the time taken.
func (c *Client) dial(ctx context.Context, call Call) (net.Conn, error) {
	started := time.Now()
	conn, err := dialEndpoint(ctx, call)
	if err != nil {
		return nil, err
	}
	c.counters.dial.UpdateSince(started)
	return conn, nil
}

// dialEndpoint connects to the endpoint before ConnectDeadline and ResponseDeadline.
func dialEndpoint(ctx context.Context, call Call) (net.Conn, error) {
	if ctx.Err() != nil {
		return nil, cancellationError(ctx, fault.NotRun)
	}
	deadline := earliest(call.Limits.ConnectDeadline, call.Limits.ResponseDeadline)
	dialer := net.Dialer{Deadline: deadline, KeepAliveConfig: keepAliveConfig}
	conn, err := dialer.DialContext(ctx, "tcp", string(call.Address))
	if err == nil {
		return conn, nil
	}
	if ctx.Err() != nil {
		return nil, cancellationError(ctx, fault.NotRun)
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return nil, fault.Wrap(err, fault.EndpointTimeout, "the endpoint did not accept a connection in time").WithRan(fault.NotRun)
	}
	return nil, fault.Wrap(err, fault.EndpointFailed, "cannot connect to the endpoint").WithRan(fault.NotRun)
}

// keepAliveConfig makes the kernel detect a dead connection while the client waits for a
// response.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// attachToPoller registers the connection with the poller, with x as its processor. Before
// that it waits until the poller holds no event for an earlier connection with the same
// descriptor.
func (c *Client) attachToPoller(ctx context.Context, conn net.Conn, x *exchange) (*nbio.Conn, error) {
	nbc, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close()
		return nil, fault.Wrap(err, fault.Internal, "cannot register the connection with the poller").WithRan(fault.NotRun)
	}
	// The lock makes this setup visible to the poller before its first use, even if the
	// endpoint closes the connection before anything is written: the poller takes the
	// lock when a connection is closed.
	nbc.Lock()
	parser := nbhttp.NewParser(nbc, c.engine, x, true, nbc.Execute)
	nbc.SetSession(parser)
	nbc.OnData(func(conn *nbio.Conn, data []byte) {
		if !x.recordRead(len(data)) {
			_ = conn.Close()
			return
		}
		c.parse(conn, x, data)
	})
	nbc.Unlock()
	if err := c.awaitPoller(ctx, nbc, x.call.Limits); err != nil {
		_ = nbc.Close()
		return nil, err
	}
	if _, err := c.engine.AddConn(nbc); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot register the connection with the poller").WithRan(fault.NotRun)
	}
	return nbc, nil
}

// awaitPoller waits until the poller has handled the events that it has already fetched, which
// may be those of a closed connection with the descriptor of nbc.
func (c *Client) awaitPoller(ctx context.Context, nbc *nbio.Conn, l endpoint.Limits) error {
	ctx, cancel := withDeadline(ctx, earliest(l.ConnectDeadline, l.ResponseDeadline), fault.New(fault.EndpointTimeout, "the poller did not take the connection over in time"))
	defer cancel()
	ctx, cancel = withDeadline(ctx, l.SendDeadline, sendDeadlineError())
	defer cancel()
	err := c.barrier.Await(ctx, nbc.Hash())
	if err != nil && ctx.Err() != nil {
		return cancellationError(ctx, fault.NotRun)
	}
	return err
}

// withDeadline is context.WithDeadlineCause, or without effect if the deadline is zero.
func withDeadline(ctx context.Context, deadline time.Time, cause error) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return ctx, func() {}
	}
	return context.WithDeadlineCause(ctx, deadline, cause)
}

// sendDeadlineError returns the error of a call that is not sent before its SendDeadline.
func sendDeadlineError() *fault.Error {
	return fault.New(fault.DeadlineExceeded, "the deadline to send the request has passed").WithRan(fault.NotRun)
}

// encode returns the call as an HTTP/1.1 request message.
func encode(call Call) ([]byte, error) {
	head, err := encodeHead(call)
	if err != nil {
		return nil, err
	}
	return append(head, call.Body...), nil
}

// encodeHead returns the request line and the headers of the call.
func encodeHead(call Call) ([]byte, error) {
	if !isValidTarget(call.Target) {
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
	// Header.Write replaces line breaks in values, which prevents header injection.
	if err := h.Write(&b); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot encode the request").WithRan(fault.NotRun)
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// framingHeaders are set only by encode; a Call's values for them are dropped.
var framingHeaders = []string{"Host", "Content-Length", "Transfer-Encoding", "Trailer", "Expect"}

// isValidTarget reports whether a path and query are valid in a request line.
func isValidTarget(target string) bool {
	return strings.HasPrefix(target, "/") && !strings.ContainsAny(target, " \r\n\t\x00")
}

// cancellationError returns the cause of a cancelled context as an error.
func cancellationError(ctx context.Context, ran fault.Ran) *fault.Error {
	return fault.From(context.Cause(ctx)).WithRan(ran)
}

// earliest returns the earlier of two times; a zero time means no limit.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
