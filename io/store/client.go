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
	defaultStageTimeout = time.Second
	dialTimeout         = 500 * time.Millisecond
	idleLimit           = 5 * time.Second // An idle connection is not used after this time.
	maxIdle             = 8               // Idle connections kept.
	maxAnswerBytes      = 16 << 20
)

// Client calls the store. It is safe for concurrent use.
type Client struct {
	addresses    []ident.Address
	stageTimeout time.Duration
	now          func() time.Time
	pooled       *http.Transport // For calls that may be repeated.
	fresh        *http.Transport // A new connection for each call.
	calls        [kindCount]metrics.Counter
	failures     metrics.Counter
	preferred    atomic.Int64 // Position of the address that answered last.
	ctx          context.Context
	cancel       context.CancelFunc

	mu       sync.Mutex
	closed   bool
	underWay sync.WaitGroup // Calls; added to under mu while not closed.
}

// Option changes a client.
type Option func(*Client)

// WithStageTimeout sets the limit of each call but watches.
func WithStageTimeout(d time.Duration) Option { return func(c *Client) { c.stageTimeout = d } }

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(c *Client) { c.now = now } }

// WithMetrics registers the counters in r.
func WithMetrics(r metrics.Registry) Option { return func(c *Client) { c.register(r) } }

// New returns a client of the store behind addresses. It calls nothing yet.
// Errors have kind BadSettings.
func New(addresses []ident.Address, opts ...Option) (*Client, error) {
	if len(addresses) == 0 {
		return nil, fault.New(fault.BadSettings, "no address of the key-value service")
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		addresses:    addresses,
		stageTimeout: defaultStageTimeout,
		now:          time.Now,
		pooled:       newTransport(true),
		fresh:        newTransport(false),
		ctx:          ctx,
		cancel:       cancel,
	}
	c.register(metrics.NewRegistry())
	for _, o := range opts {
		o(c)
	}
	return c, nil
}

// register makes the counters in r.
func (c *Client) register(r metrics.Registry) {
	for k := range kindCount {
		c.calls[k] = metrics.GetOrRegisterCounter("Store.Calls."+k.String(), r)
	}
	c.failures = metrics.GetOrRegisterCounter("Store.Failures", r)
}

// Close ends all calls and waits for them. Calls that were under way return
// errors of kind StoreUnavailable.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.underWay.Wait()
	c.pooled.CloseIdleConnections()
	return nil
}

// CallCounts returns the number of calls by kind.
func (c *Client) CallCounts() map[string]int64 {
	counts := make(map[string]int64, kindCount)
	for k := range kindCount {
		counts[k.String()] = c.calls[k].Count()
	}
	return counts
}

// call is one HTTP call.
type call struct {
	kind   callKind
	method string
	path   string // With the query.
	body   []byte
	limit  time.Duration
}

// answer is a whole answer of the store.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// read makes a call that may be repeated: once more on a new connection, at
// the next address, when the first try fails.
func (c *Client) read(ctx context.Context, cl call) (*answer, error) {
	start := int(c.preferred.Load())
	a, err := c.try(ctx, cl, start, false)
	if err == nil || ctx.Err() != nil {
		return a, err
	}
	next := (start + 1) % len(c.addresses)
	a, err = c.try(ctx, cl, next, true)
	if err == nil {
		c.preferred.Store(int64(next))
	}
	return a, err
}

// write makes a call that must not be repeated, on a new connection. Sent is
// false only when no byte of it left this process.
func (c *Client) write(ctx context.Context, cl call) (a *answer, sent bool, err error) {
	start := int(c.preferred.Load())
	for i := range c.addresses {
		at := (start + i) % len(c.addresses)
		a, err = c.try(ctx, cl, at, true)
		if !isNotSent(err) {
			c.preferred.Store(int64(at))
			return a, true, err
		}
	}
	return nil, false, err
}

// try makes one call at one address.
func (c *Client) try(ctx context.Context, cl call, at int, fresh bool) (*answer, error) {
	c.calls[cl.kind].Inc(1)
	a, err := c.exchange(ctx, cl, c.addresses[at], fresh)
	if err != nil {
		c.failures.Inc(1)
		return nil, err
	}
	if a.status == http.StatusTooManyRequests || a.status >= http.StatusInternalServerError {
		c.failures.Inc(1)
		return a, fault.New(fault.StoreUnavailable, "the store answered status %d", a.status)
	}
	return a, nil
}
