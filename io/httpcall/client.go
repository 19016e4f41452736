// Package httpcall makes HTTP calls to endpoints, one call on each connection,
// on nbio. It hands over an answer piece by piece and says for every failure
// whether a byte of the call may have reached the endpoint.
package httpcall

import (
	"sync"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/io/poller"
)

const (
	// defaultPollers is the number of poller goroutines.
	defaultPollers = 2
	// defaultMaxAnswerBytes bounds an answer, and the bytes of it that wait
	// for the caller of Do.
	defaultMaxAnswerBytes = 64 << 20
	// readsPerEvent lets the poller read until a socket is empty, so that the
	// end of an answer isn't lost when the endpoint closes right after it.
	readsPerEvent = 1 << 30
)

// Client makes calls. It is safe for concurrent use.
type Client struct {
	engine   *nbhttp.Engine
	pollers  int
	maxBytes int
	metrics  metrics.Registry
	counters counters

	mu     sync.Mutex
	closed bool
	calls  sync.WaitGroup
}

// counters are the client's metrics.
type counters struct {
	calls   metrics.Counter // Calls started.
	failed  metrics.Counter // Calls that returned an error.
	crossed metrics.Counter // Answers that named another request.
	dial    metrics.Timer   // Time to connect.
}

// Option configures a Client.
type Option func(*Client)

// WithMetrics sets the registry that the client's metrics go to.
func WithMetrics(r metrics.Registry) Option {
	return func(c *Client) { c.metrics = r }
}

// WithMaxAnswerBytes sets the largest answer, in bytes.
func WithMaxAnswerBytes(n int) Option {
	return func(c *Client) { c.maxBytes = n }
}

// New starts a client. Close ends it.
func New(opts ...Option) (*Client, error) {
	c := &Client{pollers: defaultPollers, maxBytes: defaultMaxAnswerBytes, metrics: metrics.NewRegistry()}
	for _, opt := range opts {
		opt(c)
	}
	c.counters = counters{
		calls:   metrics.GetOrRegisterCounter("HTTPCall.Calls", c.metrics),
		failed:  metrics.GetOrRegisterCounter("HTTPCall.Failed", c.metrics),
		crossed: metrics.GetOrRegisterCounter("HTTPCall.Crossed", c.metrics),
		dial:    metrics.GetOrRegisterTimer("HTTPCall.Dial", c.metrics),
	}
	c.engine = nbhttp.NewEngine(nbhttp.Config{
		Name:                         "HTTPCall",
		NPoller:                      c.pollers,
		ReadLimit:                    c.maxBytes,
		MaxConnReadTimesPerEventLoop: readsPerEvent,
		ServerExecutor:               func(f func()) { go f() },
		ClientExecutor:               func(f func()) { go f() },
	})
	if err := poller.Start(c.engine); err != nil {
		return nil, err
	}
	return c, nil
}

// Close refuses new calls, waits for the running ones and ends the client.
func (c *Client) Close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.mu.Unlock()
	c.calls.Wait()
	c.engine.Stop()
}

// CountCrossed counts an answer whose body named another request.
func (c *Client) CountCrossed() { c.counters.crossed.Inc(1) }

// begin registers a call, or reports that the client is closed.
func (c *Client) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.calls.Add(1)
	c.counters.calls.Inc(1)
	return true
}

// Limits are the time limits of one call by stage. A zero value sets no limit
// for its stage.
type Limits struct {
	ConnectBy   time.Time     // The connection stands.
	SendBy      time.Time     // The call leaves; checked right before the write.
	FirstByteBy time.Time     // The first byte of the answer is here.
	PieceWithin time.Duration // Longest silence between two pieces of the answer.

	// DeliverWithin is how long bytes of the call may be on their way. After it
	// the kernel drops them with the connection, also while this process is
	// paused; and what was not delivered when the call ends is dropped too.
	DeliverWithin time.Duration
	WholeBy       time.Time // The last byte of the answer is here.
}
