package httpcall

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

const (
	// maxIdleTime is how long an idle connection is kept.
	maxIdleTime = 12 * time.Second
	// maxIdleConns is the maximum number of idle connections to an address.
	maxIdleConns = 64
	// poolUserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel ends the connection.
	poolUserTimeout = 1500 * time.Millisecond
	// largeUserTimeout takes its place while a request is sent that may not fit into the
	// endpoint's receive buffer. The timeout then also limits how long the endpoint may
	// leave the request unread, so that it has to be longer than the endpoint's pauses.
	largeUserTimeout = 3 * time.Second
)

// Pool makes calls on reusable connections, with at most one call at a time on each. It
// is safe for concurrent use.
type Pool struct {
	maxBytes int64
	log      log.Logger
	counters poolMetrics
	report   *malformedReport

	mu     sync.Mutex
	idle   map[ident.Address][]*poolConn // The most recently used last.
	inUse  map[ident.Address]int         // Calls that have a connection, or open one.
	closed bool
}

// poolMetrics are the metrics of a Pool.
type poolMetrics struct {
	calls      metrics.Counter
	failed     metrics.Counter
	dials      metrics.Counter
	mismatched metrics.Counter // Responses with the id of another request.
}

// PoolOption configures a Pool.
type PoolOption func(*Pool)

// WithPoolLog sets the logger for malformed responses; by default there is none.
func WithPoolLog(l log.Logger) PoolOption {
	return func(p *Pool) { p.log = log.With(l, "part", "HTTPPool") }
}

// NewPool returns a pool without connections.
func NewPool(r metrics.Registry, opts ...PoolOption) *Pool {
	p := &Pool{
		maxBytes: defaultMaxResponseBytes,
		log:      log.NewNopLogger(),
		idle:     make(map[ident.Address][]*poolConn),
		inUse:    make(map[ident.Address]int),
		counters: poolMetrics{
			calls:      metrics.GetOrRegisterCounter("HTTPPool.Calls", r),
			failed:     metrics.GetOrRegisterCounter("HTTPPool.Failed", r),
			dials:      metrics.GetOrRegisterCounter("HTTPPool.Dials", r),
			mismatched: metrics.GetOrRegisterCounter("HTTPPool.Crossed", r),
		},
	}
	for _, opt := range opts {
		opt(p)
	}
	p.report = newMalformedReport(p.log, metrics.GetOrRegisterCounter("HTTPPool.Malformed", r))
	return p
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
// call ended at or after call.PooledSince, and that has not carried a call with the same
// id.
func (p *Pool) Do(ctx context.Context, call Call, sink endpoint.Sink) error {
	p.counters.calls.Inc(1)
	err := p.do(ctx, call, sink)
	if err != nil {
		p.counters.failed.Inc(1)
		p.report.record(call, err)
	}
	return err
}

// do makes the call and keeps its connection if it can be reused.
func (p *Pool) do(ctx context.Context, call Call, sink endpoint.Sink) error {
	head, err := encodeHead(call)
	if err != nil {
		return err
	}
	p.beginUse(call.Address)
	var reusableConn *poolConn
	defer func() { p.release(call, reusableConn) }()
	c, err := p.acquire(ctx, call)
	if err != nil {
		return err
	}
	x := &poolExchange{pool: p, ctx: ctx, call: call, conn: c, sink: sink}
	reusable, err := x.run(head)
	if reusable {
		reusableConn = c
	} else {
		_ = c.Close()
	}
	if fault.Is(err, fault.EndpointTimeout) {
		p.closeIdle(call.Address)
	}
	return err
}

// beginUse records that a call uses a connection to an address.
func (p *Pool) beginUse(a ident.Address) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse[a]++
}

// closeExcess closes the idle connections to an address that were used least recently, as long
// as more connections are open than limit, unless it is zero. The caller must hold p.mu.
func (p *Pool) closeExcess(a ident.Address, limit int) {
	for limit > 0 && len(p.idle[a]) > 0 && len(p.idle[a])+p.inUse[a] > limit {
		_ = p.idle[a][0].Close()
		p.idle[a] = slices.Delete(p.idle[a], 0, 1)
	}
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
		c := p.popIdle(call)
		if c == nil {
			p.makeRoom(call)
			return p.dial(ctx, call)
		}
		if c.idleSince.Before(call.PooledSince) || !time.Now().Before(c.expires) || !isIdle(c.Conn) {
			_ = c.Close()
			continue
		}
		return c, nil
	}
}

// makeRoom closes idle connections if a new one for a call would exceed its limit.
func (p *Pool) makeRoom(call Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExcess(call.Address, call.MaxConnections)
}

// popIdle removes and returns the most recently used idle connection for a call, or nil.
func (p *Pool) popIdle(call Call) *poolConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[call.Address]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if c.hasCarried(call.ID) {
			continue
		}
		p.idle[call.Address] = slices.Delete(list, i, i+1)
		return c
	}
	return nil
}

// release records that a call has ended. It keeps its connection, unless that is nil, for later
// calls, and closes idle connections beyond the call's limit.
func (p *Pool) release(call Call, c *poolConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse[call.Address]--; p.inUse[call.Address] == 0 {
		delete(p.inUse, call.Address)
	}
	if c != nil {
		p.keep(call.Address, c)
	}
	p.closeExcess(call.Address, call.MaxConnections)
}

// keep keeps a connection for later calls. It closes the connection if the pool is closed or
// holds maxIdleConns idle connections to the address already, or if the kernel does not accept
// its timeout, which means that the connection has failed. The caller must hold p.mu.
func (p *Pool) keep(a ident.Address, c *poolConn) {
	c.idleSince = time.Now()
	if c.expires.IsZero() || c.expires.After(c.idleSince.Add(maxIdleTime)) {
		c.expires = c.idleSince.Add(maxIdleTime)
	}
	if p.closed || len(p.idle[a]) >= maxIdleConns || c.setUserTimeout(poolUserTimeout) != nil {
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
	c := newPoolConn(conn)
	if err := c.setUserTimeout(poolUserTimeout); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return c, nil
}
