// Package store is a client of the platform's key-value service.
package store

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// Limits of a client.
const (
	defaultCallTimeout = time.Second
	dialTimeout        = 500 * time.Millisecond
	idleTimeout        = 5 * time.Second // Idle connections are closed after this time.
	maxIdleConns       = 8               // Maximum number of idle connections for each address.
	maxResponseBytes   = 16 << 20
)

// Client calls the key-value service, called the store here. It is safe for
// concurrent use.
type Client struct {
	addresses       []ident.Address
	callTimeout     time.Duration
	now             func() time.Time
	pooledTransport *http.Transport // Reuses connections; for calls that may be repeated.
	freshTransport  *http.Transport // Opens a new connection for each call.
	callCounters    [kindCount]metrics.Counter
	failures        metrics.Counter
	preferred       atomic.Int64 // Index of the address to try first.
	ctx             context.Context
	cancel          context.CancelFunc

	mu       sync.Mutex
	closed   bool
	inFlight sync.WaitGroup // Calls in progress; increased only under mu and while not closed.
}

// Option configures a new Client.
type Option func(*Client)

// WithCallTimeout sets the timeout of each call except watches, whose timeout
// follows from their wait time.
func WithCallTimeout(d time.Duration) Option { return func(c *Client) { c.callTimeout = d } }

// WithNow sets the function that returns the current time.
func WithNow(now func() time.Time) Option { return func(c *Client) { c.now = now } }

// WithMetrics registers the counters in r.
func WithMetrics(r metrics.Registry) Option { return func(c *Client) { c.registerMetrics(r) } }

// New returns a client of the store at addresses. It makes no call. Errors have
// kind BadSettings.
func New(addresses []ident.Address, opts ...Option) (*Client, error) {
	if len(addresses) == 0 {
		return nil, fault.New(fault.BadSettings, "no address of the key-value service")
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		addresses:       addresses,
		callTimeout:     defaultCallTimeout,
		now:             time.Now,
		pooledTransport: newTransport(true),
		freshTransport:  newTransport(false),
		ctx:             ctx,
		cancel:          cancel,
	}
	c.registerMetrics(metrics.NewRegistry())
	for _, o := range opts {
		o(c)
	}
	return c, nil
}

// registerMetrics registers the counters in r.
func (c *Client) registerMetrics(r metrics.Registry) {
	for k := range kindCount {
		c.callCounters[k] = metrics.GetOrRegisterCounter("Store.Calls."+k.String(), r)
	}
	c.failures = metrics.GetOrRegisterCounter("Store.Failures", r)
}

// Close cancels all calls and waits until they have returned. They return errors
// of kind StoreUnavailable.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.inFlight.Wait()
	c.pooledTransport.CloseIdleConnections()
	return nil
}

// CallCounts returns the number of calls of each kind.
func (c *Client) CallCounts() map[string]int64 {
	counts := make(map[string]int64, kindCount)
	for k := range kindCount {
		counts[k.String()] = c.callCounters[k].Count()
	}
	return counts
}

// request is one HTTP request to the store.
type request struct {
	kind    callKind
	method  string
	path    string // Includes the query.
	body    []byte
	timeout time.Duration // Timeout of one attempt.
}

// response is a complete response of the store.
type response struct {
	status int
	header http.Header
	body   []byte
}

// callIdempotent makes a call that may be repeated. If the first attempt fails, it
// makes a second one on a new connection to the next address.
func (c *Client) callIdempotent(ctx context.Context, r request) (*response, error) {
	start := int(c.preferred.Load())
	res, err := c.attempt(ctx, r, start, false)
	if err == nil || ctx.Err() != nil {
		return res, err
	}
	next := (start + 1) % len(c.addresses)
	res, err = c.attempt(ctx, r, next, true)
	if err == nil {
		c.preferred.Store(int64(next))
	}
	return res, err
}

// callOnce makes a call that must not be repeated, on a new connection. It tries
// the next address only if nothing was sent. The result sent is false only if no
// byte of the request left this process.
func (c *Client) callOnce(ctx context.Context, r request) (res *response, sent bool, err error) {
	start := int(c.preferred.Load())
	for i := range c.addresses {
		index := (start + i) % len(c.addresses)
		res, err = c.attempt(ctx, r, index, true)
		if !isNotSent(err) {
			c.preferred.Store(int64(index))
			return res, true, err
		}
	}
	return nil, false, err
}

// attempt makes one attempt of a call at one address.
func (c *Client) attempt(ctx context.Context, r request, index int, newConn bool) (*response, error) {
	c.callCounters[r.kind].Inc(1)
	res, err := c.roundTrip(ctx, r, c.addresses[index], newConn)
	if err != nil {
		c.failures.Inc(1)
		return nil, err
	}
	if res.status == http.StatusTooManyRequests || res.status >= http.StatusInternalServerError {
		c.failures.Inc(1)
		return res, fault.New(fault.StoreUnavailable, "the store responded with status %d", res.status)
	}
	return res, nil
}
