// Package httpcall is the HTTP client for calls to endpoints. Client opens a connection
// for each call, on nbio; Pool reuses connections. Both pass on a response as it
// arrives and state for every error whether the endpoint may have received the request.
package httpcall

import (
	"sync"

	"github.com/go-kit/log"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/io/poller"
)

const (
	// defaultPollers is the number of poller goroutines.
	defaultPollers = 2
	// defaultMaxResponseBytes is the maximum size of a response.
	defaultMaxResponseBytes = 64 << 20
)

// Client makes calls, each on a new connection. It is safe for concurrent use.
type Client struct {
	engine   *nbhttp.Engine
	barrier  *poller.Barrier
	pollers  int
	maxBytes int
	registry metrics.Registry
	log      log.Logger
	counters clientMetrics
	report   *malformedReport

	mu           sync.Mutex
	closed       bool
	runningCalls sync.WaitGroup
}

// clientMetrics are the metrics of a Client.
type clientMetrics struct {
	calls      metrics.Counter // Calls started.
	failed     metrics.Counter // Calls that returned an error.
	mismatched metrics.Counter // Responses with the id of another request.
	dial       metrics.Timer   // Time to connect.
}

// Option configures a Client.
type Option func(*Client)

// WithMetrics sets the registry for the client's metrics.
func WithMetrics(r metrics.Registry) Option {
	return func(c *Client) { c.registry = r }
}

// WithLog sets the logger for malformed responses; by default there is none.
func WithLog(l log.Logger) Option {
	return func(c *Client) { c.log = log.With(l, "part", "HTTPCall") }
}

// WithMaxResponseBytes sets the maximum size of a response.
func WithMaxResponseBytes(n int) Option {
	return func(c *Client) { c.maxBytes = n }
}

// New starts a client. Close stops it.
func New(opts ...Option) (*Client, error) {
	c := &Client{pollers: defaultPollers, maxBytes: defaultMaxResponseBytes, registry: metrics.NewRegistry(), log: log.NewNopLogger()}
	for _, opt := range opts {
		opt(c)
	}
	c.counters = clientMetrics{
		calls:      metrics.GetOrRegisterCounter("HTTPCall.Calls", c.registry),
		failed:     metrics.GetOrRegisterCounter("HTTPCall.Failed", c.registry),
		mismatched: metrics.GetOrRegisterCounter("HTTPCall.Crossed", c.registry),
		dial:       metrics.GetOrRegisterTimer("HTTPCall.Dial", c.registry),
	}
	c.report = newMalformedReport(c.log, metrics.GetOrRegisterCounter("HTTPCall.Malformed", c.registry))
	c.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:           "HTTPCall",
		NPoller:        c.pollers,
		ReadLimit:      c.maxBytes,
		EpollMod:       nbio.EPOLLET, // A connection that is not read causes no further events.
		ServerExecutor: func(f func()) { go f() },
		ClientExecutor: func(f func()) { go f() },
	})
	c.engine.OnRead(c.onRead)
	if err := poller.Start(c.engine); err != nil {
		return nil, err
	}
	var err error
	if c.barrier, err = poller.NewBarrier(c.engine); err != nil {
		c.engine.Stop()
		return nil, err
	}
	return c, nil
}

// Close rejects new calls, waits for the running ones and stops the client.
func (c *Client) Close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.mu.Unlock()
	c.runningCalls.Wait()
	c.engine.Stop()
	c.barrier.Close()
}

// CountMismatchedID counts a response whose body has the id of another request.
func (c *Client) CountMismatchedID() { c.counters.mismatched.Inc(1) }

// begin registers a call. It returns false if the client is closed.
func (c *Client) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.runningCalls.Add(1)
	c.counters.calls.Inc(1)
	return true
}
