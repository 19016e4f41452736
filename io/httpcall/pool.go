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
	// maxIdleTime is how long a connection without a call is kept.
	maxIdleTime = 12 * time.Second
	// maxIdleConns bounds the connections without a call to one address.
	maxIdleConns = 64
	// poolBufferBytes is the size of the read buffer of a connection.
	poolBufferBytes = 4 << 10
	// pieceBytes is the size of the largest piece that a sink gets.
	pieceBytes = 32 << 10
	// poolUserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel ends the connection.
	poolUserTimeout = 1500 * time.Millisecond
	// writeAhead is the largest call that is written before the answer is read.
	// The endpoint may answer a longer one before it has read it.
	writeAhead = 8 << 10
)

// Pool makes calls on connections that it keeps. One call is outstanding on a
// connection. It is safe for concurrent use.
type Pool struct {
	maxBytes int64
	counters poolCounters

	mu     sync.Mutex
	idle   map[ident.Address][]*poolConn // The last used last.
	closed bool
}

// poolCounters are the metrics of a pool.
type poolCounters struct {
	calls   metrics.Counter
	failed  metrics.Counter
	dials   metrics.Counter
	crossed metrics.Counter // Answers that named another request.
}

// poolConn is a kept connection.
type poolConn struct {
	net.Conn
	br      *bufio.Reader
	freeAt  time.Time // When its last call ended.
	expires time.Time // Not used from this time on.
}

// NewPool returns a pool without connections.
func NewPool(r metrics.Registry) *Pool {
	return &Pool{
		maxBytes: defaultMaxAnswerBytes,
		idle:     make(map[ident.Address][]*poolConn),
		counters: poolCounters{
			calls:   metrics.GetOrRegisterCounter("HTTPPool.Calls", r),
			failed:  metrics.GetOrRegisterCounter("HTTPPool.Failed", r),
			dials:   metrics.GetOrRegisterCounter("HTTPPool.Dials", r),
			crossed: metrics.GetOrRegisterCounter("HTTPPool.Crossed", r),
		},
	}
}

// Close ends the connections without a call. Those with one end with it.
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

// Do makes the call as Client.Do does, but on a kept connection if there is one
// that was in use at or after call.UsedSince.
func (p *Pool) Do(ctx context.Context, call Call, sink Sink) error {
	p.counters.calls.Inc(1)
	err := p.do(ctx, call, sink)
	if err != nil {
		p.counters.failed.Inc(1)
	}
	return err
}

// do makes the call and keeps its connection if it can carry another one.
func (p *Pool) do(ctx context.Context, call Call, sink Sink) error {
	message, err := encode(call)
	if err != nil {
		return err
	}
	c, err := p.take(ctx, call)
	if err != nil {
		return err
	}
	x := &poolExchange{pool: p, ctx: ctx, call: call, conn: c, sink: sink}
	reusable, err := x.run(message)
	if reusable {
		p.put(call.Address, c)
	} else {
		_ = c.Close()
	}
	if fault.Is(err, fault.EndpointTimeout) {
		p.flush(call.Address)
	}
	return err
}

// flush closes the connections to an address that carry no call. When one has gone
// silent the others are likely silent too, while new ones work.
func (p *Pool) flush(a ident.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[a] {
		_ = c.Close()
	}
	delete(p.idle, a)
}

// take returns a connection to the endpoint.
func (p *Pool) take(ctx context.Context, call Call) (*poolConn, error) {
	if ctx.Err() != nil {
		return nil, cancelled(ctx, fault.NotRun)
	}
	for {
		c := p.pop(call.Address)
		if c == nil {
			return p.dial(ctx, call)
		}
		if c.freeAt.Before(call.UsedSince) || !time.Now().Before(c.expires) || !quiet(c.Conn) {
			_ = c.Close()
			continue
		}
		return c, nil
	}
}

// pop takes the connection out that was used last.
func (p *Pool) pop(a ident.Address) *poolConn {
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

// put keeps a connection.
func (p *Pool) put(a ident.Address, c *poolConn) {
	c.freeAt = time.Now()
	if c.expires.IsZero() || c.expires.After(c.freeAt.Add(maxIdleTime)) {
		c.expires = c.freeAt.Add(maxIdleTime)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[a]) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle[a] = append(p.idle[a], c)
}

// Trim closes connections that will not be used any more. It is called now and
// then.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) && quiet(c.Conn) {
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

// dial makes a connection.
func (p *Pool) dial(ctx context.Context, call Call) (*poolConn, error) {
	p.counters.dials.Inc(1)
	conn, err := dialEndpoint(ctx, call)
	if err != nil {
		return nil, err
	}
	if err := boundUnacked(conn, poolUserTimeout); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &poolConn{Conn: conn, br: bufio.NewReaderSize(conn, poolBufferBytes)}, nil
}

// poolExchange is one call on a kept connection.
type poolExchange struct {
	pool *Pool
	ctx  context.Context
	call Call
	conn *poolConn
	sink Sink
	head Head

	written  chan error // Set while the call is written beside the reading.
	writeErr error
}

// run sends the call and receives the answer. It reports whether the connection
// can carry another call.
func (x *poolExchange) run(message []byte) (bool, error) {
	if by := x.call.Limits.SendBy; !by.IsZero() && !time.Now().Before(by) {
		return true, fault.New(fault.DeadlineExceeded, "the time to send the call has passed").WithRan(fault.NotRun)
	}
	if x.call.BeforeSend != nil {
		if err := x.call.BeforeSend(); err != nil {
			return true, fault.From(err).WithRan(fault.NotRun)
		}
	}
	_ = x.conn.SetDeadline(x.call.Limits.WholeBy)
	stop := context.AfterFunc(x.ctx, func() { _ = x.conn.Close() })
	reusable, err := x.exchange(message)
	if !stop() {
		reusable = false
	}
	if x.written != nil {
		select {
		case werr := <-x.written:
			reusable = reusable && werr == nil
		default:
			// The endpoint has answered a call that it has not read.
			reusable = false
		}
	}
	if err != nil && x.ctx.Err() != nil {
		return false, cancelled(x.ctx, fault.MayHaveRun)
	}
	return reusable && err == nil, err
}

// exchange writes the call and reads the answer.
func (x *poolExchange) exchange(message []byte) (bool, error) {
	if len(message) > writeAhead {
		x.written = make(chan error, 1)
		go func() {
			_, err := x.conn.Write(message)
			x.written <- err
		}()
	} else if _, err := x.conn.Write(message); err != nil {
		// The endpoint may have answered before it closed the connection.
		x.writeErr = err
	}
	res, err := x.readHead()
	if err != nil {
		return false, err
	}
	defer func() { _ = res.Body.Close() }()
	x.head = Head{Status: res.StatusCode, Header: res.Header, Length: res.ContentLength}
	if id := res.Header.Get(RequestIDHeader); id != "" && x.call.ID != "" && id != x.call.ID {
		x.pool.counters.crossed.Inc(1)
		return false, fault.New(fault.AnswerBroken, "the answer belongs to another request")
	}
	if err := x.sink.OnHead(x.head); err != nil {
		return false, err
	}
	if err := x.readBody(res.Body); err != nil {
		return false, err
	}
	x.keepAlive(res.Header)
	return !res.Close && x.conn.br.Buffered() == 0 && x.writeErr == nil, nil
}

// readHead reads up to the head of the final answer.
func (x *poolExchange) readHead() (*http.Response, error) {
	by := earliest(x.call.Limits.FirstByteBy, x.call.Limits.WholeBy)
	_ = x.conn.SetReadDeadline(by)
	for {
		res, err := http.ReadResponse(x.conn.br, &http.Request{Method: x.call.Method})
		if err != nil {
			return nil, x.failure(err, fault.EndpointFailed, "no answer from the endpoint")
		}
		if interim(res.StatusCode) && res.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		return res, nil
	}
}

// readBody hands the body to the sink. A body without a length that ends with
// a reset is an error; one that ends with the connection is whole.
func (x *poolExchange) readBody(body io.Reader) error {
	buf := make([]byte, pieceBytes)
	total := int64(0)
	for {
		by := x.call.Limits.WholeBy
		if within := x.call.Limits.PieceWithin; within > 0 {
			by = earliest(by, time.Now().Add(within))
		}
		_ = x.conn.SetReadDeadline(by)
		n, err := body.Read(buf)
		total += int64(n)
		if total > x.pool.maxBytes {
			return fault.New(fault.AnswerBroken, "the answer is larger than %d bytes", x.pool.maxBytes)
		}
		if n > 0 && x.sink.OnPiece != nil {
			if err := x.sink.OnPiece(append([]byte(nil), buf[:n]...)); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return x.failure(err, fault.AnswerBroken, "the endpoint cut its answer")
		}
	}
}

// failure returns the error for a failed read.
func (x *poolExchange) failure(err error, kind fault.Kind, message string) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return fault.Wrap(err, fault.EndpointTimeout, "the endpoint did not answer in time")
	}
	if x.writeErr != nil {
		err = errors.CombineErrors(err, x.writeErr)
	}
	return fault.Wrap(err, kind, "%s", message)
}

// keepAlive notes how long the endpoint keeps the connection.
func (x *poolExchange) keepAlive(h http.Header) {
	_, after, found := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !found {
		return
	}
	digits, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(digits))
	if err != nil || seconds < 0 {
		return
	}
	// Half of it, as the endpoint may have begun to count before the answer came.
	x.conn.expires = time.Now().Add(time.Duration(seconds) * time.Second / 2)
}
