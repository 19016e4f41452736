package caller

import (
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/membudget"
)

const (
	// requestShare is the limit of the memory of requests as a share of the memory budget. Their
	// input is in the budget, and so leaves memory for responses.
	requestShare = 0.5
	// connectionShare is the share of that limit above which a connection may not have further
	// requests wait for the one that is handled, so that it leaves memory to others.
	connectionShare = 0.25
	// requestBytes is what a request takes beside the bytes received: its connection, goroutines
	// and the call to an engine.
	requestBytes membudget.Bytes = 24 << 10
	// headerLineBytes is what a header line takes beside its bytes, in the request and in the copy
	// that is sent on.
	headerLineBytes membudget.Bytes = 256
	// memoryRetryDelay is the Retry-After of a request that is refused for lack of memory.
	memoryRetryDelay = time.Second
	// memoryLogInterval is the shortest time between two log lines about such requests.
	memoryLogInterval = time.Second
)

// requestMemory limits the memory that the requests of a server use while they are read and
// handled. Without free memory, requests that are being read are refused; those that were read
// completely are kept.
type requestMemory struct {
	budget *membudget.Budget // All bytes that the instance holds for others.
	share  *membudget.Budget // All memory of requests.
	conns  *connTable
	log    log.Logger

	refused metrics.Counter

	mu              sync.Mutex
	nextLog         time.Time
	refusedSinceLog int
}

// newRequestMemory returns the limit for the requests of the connections in conns.
func newRequestMemory(budget *membudget.Budget, conns *connTable, logger log.Logger, refused metrics.Counter) *requestMemory {
	return &requestMemory{
		budget:  budget,
		share:   membudget.New(membudget.Bytes(requestShare * float64(budget.Limit()))),
		conns:   conns,
		log:     logger,
		refused: refused,
	}
}

// requestSize is the memory of a request.
type requestSize struct {
	input membudget.Bytes // Bytes received.
	state membudget.Bytes // What the program takes to handle it.
}

// total returns the sum.
func (n requestSize) total() membudget.Bytes { return n.input + n.state }

// add returns the sum of two sizes.
func (n requestSize) add(other requestSize) requestSize {
	return requestSize{n.input + other.input, n.state + other.state}
}

// requestHolder counts the memory that the requests of one connection use. The budget counts
// their input alone: it limits bytes held for others.
type requestHolder struct {
	budget *membudget.Holder
	share  *membudget.Holder
}

// open returns the holder of a new connection. Its close method closes it.
func (m *requestMemory) open(now time.Time) requestHolder {
	return requestHolder{budget: m.budget.Open(now), share: m.share.Open(now)}
}

// reserve counts n, or returns false if there is not enough memory.
func (h requestHolder) reserve(n requestSize) bool {
	if !h.share.Reserve(n.total()) {
		return false
	}
	if !h.budget.Reserve(n.input) {
		h.share.Release(n.total())
		return false
	}
	return true
}

// release takes n back.
func (h requestHolder) release(n requestSize) {
	h.share.Release(n.total())
	h.budget.Release(n.input)
}

// close takes back all bytes of the connection.
func (h requestHolder) close() {
	h.share.Close()
	h.budget.Close()
}

// reserve reserves memory for the request that a connection reads. Without enough memory it
// refuses other requests that are being read, first those that have used most memory for the
// longest time, down to the connection's own request; it then returns false. It also returns
// false for a connection that sends on while it has used up its share.
func (m *requestMemory) reserve(c *conn, n requestSize) bool {
	if !m.mayQueue(c, n) {
		m.recordRefusal(time.Now())
		return false
	}
	for !c.memory.reserve(n) {
		now := time.Now()
		victim := m.costliestRead(now)
		if victim == nil || victim == c || !victim.refuseReading(m.exhausted(now)) {
			m.recordRefusal(now)
			return false
		}
		m.recordRefusal(now)
	}
	return true
}

// mayQueue reports whether n more may be held of the request that a connection reads. A connection
// with one earlier request at most always may: a caller that sends requests in turn sends the next
// one when it has read a response, and that request may not have ended here yet.
func (m *requestMemory) mayQueue(c *conn, n requestSize) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.memory.share.Held() + n.total()
	return c.activeRequests <= 1 || float64(held) <= connectionShare*float64(m.share.Limit())
}

// costliestRead returns the connection whose request being read has the largest product of the
// memory used and the time since its first byte, or nil if no request is being read.
func (m *requestMemory) costliestRead(now time.Time) *conn {
	var costliest *conn
	largest := 0.0
	m.conns.each(func(c *conn) {
		if cost := c.readingCost(now); cost > largest {
			costliest, largest = c, cost
		}
	})
	return costliest
}

// exhausted returns the refusal of a request for lack of memory.
func (m *requestMemory) exhausted(now time.Time) *fault.Error {
	return fault.New(fault.Overloaded, "no memory is free for the request").WithRetryAfter(now.Add(memoryRetryDelay))
}

// recordRefusal counts and logs a refusal for lack of memory.
func (m *requestMemory) recordRefusal(now time.Time) {
	m.refused.Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refusedSinceLog++
	if now.Before(m.nextLog) {
		return
	}
	_ = level.Warn(m.log).Log("msg", event.RequestMemoryExhausted, "count", m.refusedSinceLog,
		"requests_bytes", int64(m.share.Held()), "held_bytes", int64(m.budget.Held()), "limit_bytes", int64(m.share.Limit()))
	m.nextLog = now.Add(memoryLogInterval)
	m.refusedSinceLog = 0
}

// readingCost returns the product of the bytes that the request being read uses and the seconds
// since its first byte. It is 0 without such a request, and behind an earlier request of the
// connection, whose end would have to be awaited before the memory is free.
func (c *conn) readingCost(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestDeadline.IsZero() || c.rejection != nil || c.activeRequests > 0 {
		return 0
	}
	return float64(c.readSize.total()) * now.Sub(c.readSince).Seconds()
}

// refuseReading refuses the request being read and reports whether there was one.
func (c *conn) refuseReading(err *fault.Error) bool {
	c.mu.Lock()
	isReading := !c.requestDeadline.IsZero() && c.rejection == nil && c.activeRequests == 0
	if isReading {
		c.rejection = err
	}
	c.mu.Unlock()
	if isReading {
		c.sendRejection(err)
	}
	return isReading
}

// reserveInput reserves memory for the request being read, and rejects the request if there is
// none.
func (c *conn) reserveInput(n requestSize) bool {
	if !c.requests.reserve(c, n) {
		c.reject(c.requests.exhausted(time.Now()))
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readSize = c.readSize.add(n)
	return true
}

// takeReadSize returns the memory that the request just read completely uses. That of the
// input after it remains counted for the next request. The caller must hold c.mu.
func (c *conn) takeReadSize() requestSize {
	n := c.readSize
	n.input -= c.unparsed
	c.readSize = requestSize{input: c.unparsed}
	return n
}

// dropInput releases the memory of the request being read, which was rejected. Server.onClose
// releases it for a connection that has an earlier request: a parser stays in use until that
// has ended.
func (c *conn) dropInput() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.activeRequests > 1 { // The rejection is one.
		return
	}
	c.memory.release(c.readSize)
	c.readSize = requestSize{}
}

// readBody reads the body of a request, which nbhttp has buffered, into memory of just its size.
func readBody(body io.Reader) ([]byte, error) {
	buffered, ok := body.(*nbhttp.BodyReader)
	if !ok {
		return io.ReadAll(body)
	}
	data := make([]byte, buffered.Left())
	_, err := io.ReadFull(buffered, data)
	return data, err
}
