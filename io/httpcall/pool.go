package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

const (
	// maxIdleTime is how long an idle connection is kept.
	maxIdleTime = 12 * time.Second
	// maxIdleConns is the maximum number of idle connections to an address.
	maxIdleConns = 64
	// connBufferBytes is the size of a connection's read buffer.
	connBufferBytes = 4 << 10
	// maxFragmentBytes is the maximum size of a fragment passed to a sink.
	maxFragmentBytes = 32 << 10
	// poolUserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel ends the connection.
	poolUserTimeout = 1500 * time.Millisecond
	// maxSyncWriteBytes is the largest request that is written completely before the
	// response is read. A larger one is written concurrently, since the endpoint may
	// respond before it has read it all.
	maxSyncWriteBytes = 8 << 10
)

// Pool makes calls on reusable connections, with at most one call at a time on each. It
// is safe for concurrent use.
type Pool struct {
	maxBytes int64
	counters poolMetrics

	mu     sync.Mutex
	idle   map[ident.Address][]*poolConn // The most recently used last.
	closed bool
}

// poolMetrics are the metrics of a Pool.
type poolMetrics struct {
	calls      metrics.Counter
	failed     metrics.Counter
	dials      metrics.Counter
	mismatched metrics.Counter // Responses with the id of another request.
}

// poolConn is a connection of a Pool.
type poolConn struct {
	net.Conn
	br        *bufio.Reader
	idleSince time.Time // When its last call ended.
	expires   time.Time // Not reused from this time on.
}

// NewPool returns a pool without connections.
func NewPool(r metrics.Registry) *Pool {
	return &Pool{
		maxBytes: defaultMaxResponseBytes,
		idle:     make(map[ident.Address][]*poolConn),
		counters: poolMetrics{
			calls:      metrics.GetOrRegisterCounter("HTTPPool.Calls", r),
			failed:     metrics.GetOrRegisterCounter("HTTPPool.Failed", r),
			dials:      metrics.GetOrRegisterCounter("HTTPPool.Dials", r),
			mismatched: metrics.GetOrRegisterCounter("HTTPPool.Crossed", r),
		},
	}
}

// Close closes idle connections. Connections in use are closed after their call.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	p.idle = make(map[ident.Address][]*poolConn)
}

// Do makes the call like Client.Do, but on an idle connection if there is one whose last
// call ended at or after call.PooledSince.
func (p *Pool) Do(ctx context.Context, call Call, sink Sink) error {
	p.counters.calls.Inc(1)
	err := p.do(ctx, call, sink)
	if err != nil {
		p.counters.failed.Inc(1)
	}
	return err
}

// do makes the call and keeps its connection if it can be reused.
func (p *Pool) do(ctx context.Context, call Call, sink Sink) error {
	message, err := encode(call)
	if err != nil {
		return err
	}
	c, err := p.acquire(ctx, call)
	if err != nil {
		return err
	}
	x := &poolExchange{pool: p, ctx: ctx, call: call, conn: c, sink: sink}
	reusable, err := x.run(message)
	if reusable {
		p.release(call.Address, c)
	} else {
		_ = c.Close()
	}
	if fault.Is(err, fault.EndpointTimeout) {
		p.closeIdle(call.Address)
	}
	return err
}

// closeIdle closes the idle connections to an address. After a timeout on one connection
// the others are likely dead too, while new connections may work.
func (p *Pool) closeIdle(a ident.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[a] {
		_ = c.Close()
	}
	delete(p.idle, a)
}

// acquire returns an idle connection to the endpoint, or a new one.
func (p *Pool) acquire(ctx context.Context, call Call) (*poolConn, error) {
	if ctx.Err() != nil {
		return nil, cancellationError(ctx, fault.NotRun)
	}
	for {
		c := p.popIdle(call.Address)
		if c == nil {
			return p.dial(ctx, call)
		}
		if c.idleSince.Before(call.PooledSince) || !time.Now().Before(c.expires) || !isIdle(c.Conn) {
			_ = c.Close()
			continue
		}
		return c, nil
	}
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle(a ident.Address) *poolConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[a]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[a] = list[:len(list)-1]
	return c
}

// release keeps a connection for later calls. It closes the connection if the pool is
// closed or holds maxIdleConns idle connections to the address already.
func (p *Pool) release(a ident.Address, c *poolConn) {
	c.idleSince = time.Now()
	if c.expires.IsZero() || c.expires.After(c.idleSince.Add(maxIdleTime)) {
		c.expires = c.idleSince.Add(maxIdleTime)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[a]) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle[a] = append(p.idle[a], c)
}

// Trim closes idle connections that have expired or were closed by the endpoint. It is to
// be called periodically.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) && isIdle(c.Conn) {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, a)
		} else {
			p.idle[a] = kept
		}
	}
}

// dial opens a new connection.
func (p *Pool) dial(ctx context.Context, call Call) (*poolConn, error) {
	p.counters.dials.Inc(1)
	conn, err := dialEndpoint(ctx, call)
	if err != nil {
		return nil, err
	}
	if err := setUserTimeout(conn, poolUserTimeout); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &poolConn{Conn: conn, br: bufio.NewReaderSize(conn, connBufferBytes)}, nil
}

// poolExchange is a call on a connection of a Pool.
type poolExchange struct {
	pool *Pool
	ctx  context.Context
	call Call
	conn *poolConn
	sink Sink
	head Head

	writeDone chan error // Result of a concurrent write; nil if the request was written first.
	writeErr  error
}

// run sends the request and receives the response. It reports whether the connection
// can be reused.
func (x *poolExchange) run(message []byte) (bool, error) {
	if deadline := x.call.Limits.SendDeadline; !deadline.IsZero() && !time.Now().Before(deadline) {
		return true, fault.New(fault.DeadlineExceeded, "the deadline to send the request has passed").WithRan(fault.NotRun)
	}
	if x.call.BeforeSend != nil {
		if err := x.call.BeforeSend(); err != nil {
			return true, fault.From(err).WithRan(fault.NotRun)
		}
	}
	_ = x.conn.SetDeadline(x.call.Limits.ResponseDeadline)
	stop := context.AfterFunc(x.ctx, func() { _ = x.conn.Close() })
	reusable, err := x.exchange(message)
	if !stop() {
		reusable = false
	}
	if x.writeDone != nil {
		select {
		case werr := <-x.writeDone:
			reusable = reusable && werr == nil
		default:
			// The endpoint responded before it read the complete request.
			reusable = false
		}
	}
	if err != nil && x.ctx.Err() != nil {
		return false, cancellationError(x.ctx, fault.MayHaveRun)
	}
	return reusable && err == nil, err
}

// exchange writes the request and reads the response.
func (x *poolExchange) exchange(message []byte) (bool, error) {
	if len(message) > maxSyncWriteBytes {
		x.writeDone = make(chan error, 1)
		go func() {
			_, err := x.conn.Write(message)
			x.writeDone <- err
		}()
	} else if _, err := x.conn.Write(message); err != nil {
		// The endpoint may have responded before it closed the connection.
		x.writeErr = err
	}
	res, err := x.readHead()
	if err != nil {
		return false, err
	}
	defer func() { _ = res.Body.Close() }()
	x.head = Head{Status: res.StatusCode, Header: res.Header, Length: res.ContentLength}
	if id := res.Header.Get(RequestIDHeader); id != "" && x.call.ID != "" && id != x.call.ID {
		x.pool.counters.mismatched.Inc(1)
		return false, fault.New(fault.AnswerBroken, "the response has the id of another request")
	}
	if err := x.sink.OnHead(x.head); err != nil {
		return false, err
	}
	if err := x.readBody(res.Body); err != nil {
		return false, err
	}
	x.updateExpiry(res.Header)
	return !res.Close && x.conn.br.Buffered() == 0 && x.writeErr == nil, nil
}

// readHead reads the head of the final response and skips interim responses.
func (x *poolExchange) readHead() (*http.Response, error) {
	deadline := earliest(x.call.Limits.FirstByteDeadline, x.call.Limits.ResponseDeadline)
	_ = x.conn.SetReadDeadline(deadline)
	for {
		res, err := http.ReadResponse(x.conn.br, &http.Request{Method: x.call.Method})
		if err != nil {
			return nil, x.readError(err, fault.EndpointFailed, "no response from the endpoint")
		}
		if isInterim(res.StatusCode) && res.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		return res, nil
	}
}

// readBody passes the body to the sink. A body without a length is complete when the
// endpoint closes the connection, and broken when the connection is reset.
func (x *poolExchange) readBody(body io.Reader) error {
	buf := make([]byte, maxFragmentBytes)
	total := int64(0)
	for {
		deadline := x.call.Limits.ResponseDeadline
		if timeout := x.call.Limits.ReadTimeout; timeout > 0 {
			deadline = earliest(deadline, time.Now().Add(timeout))
		}
		_ = x.conn.SetReadDeadline(deadline)
		n, err := body.Read(buf)
		total += int64(n)
		if total > x.pool.maxBytes {
			return fault.New(fault.AnswerBroken, "the response is larger than %d bytes", x.pool.maxBytes)
		}
		if n > 0 && x.sink.OnBody != nil {
			if err := x.sink.OnBody(append([]byte(nil), buf[:n]...)); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return x.readError(err, fault.AnswerBroken, "the endpoint closed the connection within its response")
		}
	}
}

// readError returns the error for a failed read: EndpointTimeout after a timeout, or one
// of the given kind.
func (x *poolExchange) readError(err error, kind fault.Kind, message string) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return fault.Wrap(err, fault.EndpointTimeout, "the endpoint did not respond in time")
	}
	if x.writeErr != nil {
		err = errors.CombineErrors(err, x.writeErr)
	}
	return fault.Wrap(err, kind, "%s", message)
}

// updateExpiry sets the expiry of the connection from the Keep-Alive header.
func (x *poolExchange) updateExpiry(h http.Header) {
	_, after, found := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !found {
		return
	}
	value, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(value))
	if err != nil || seconds < 0 {
		return
	}
	// Half the timeout, as the endpoint's may have started before the response arrived.
	x.conn.expires = time.Now().Add(time.Duration(seconds) * time.Second / 2)
}
