package httpcall

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/ident"
)

// limitedCall makes a call with a limit of connections. The endpoint's answer is its own.
func limitedCall(p *Pool, address ident.Address, limit int, onHead func()) error {
	deadline := time.Now().Add(10 * time.Second)
	call := Call{Address: address, Method: http.MethodGet, Target: "/", Limits: endpoint.Limits{ResponseDeadline: deadline}, MaxConnections: limit}
	return p.Do(context.Background(), call, endpoint.Sink{OnHead: func(endpoint.Head) error { onHead(); return nil }})
}

// makeConcurrentCalls makes calls that all hold a connection at the same time.
func makeConcurrentCalls(t *testing.T, p *Pool, address ident.Address, n, limit int) {
	t.Helper()
	var calls, headsReceived sync.WaitGroup
	headsReceived.Add(n)
	for range n {
		calls.Go(func() {
			received := sync.OnceFunc(headsReceived.Done)
			defer received()
			if err := limitedCall(p, address, limit, func() { received(); headsReceived.Wait() }); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
}

// countIdle returns the number of idle connections to an address.
func countIdle(p *Pool, address ident.Address) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[address])
}

// TestPoolKeepsConnectionsWithinLimit makes more calls at a time than an engine accepts
// connections of this instance. Kept open, their connections take those of other instances:
// the engine resets what exceeds its limit, with requests that may have run. No call may fail
// because of the limit, and a smaller one holds from the next call on.
func TestPoolKeepsConnectionsWithinLimit(t *testing.T) {
	const calls, limit, smallerLimit = 10, 4, 2
	address := serveAccepted(t, func(net.Conn) {}).address
	p := NewPool(metrics.NewRegistry())
	defer p.Close()
	makeConcurrentCalls(t, p, address, calls, limit)
	if n := countIdle(p, address); n != limit {
		t.Errorf("%d idle connections after %d calls, want %d", n, calls, limit)
	}
	makeConcurrentCalls(t, p, address, 1, smallerLimit)
	if n := countIdle(p, address); n != smallerLimit {
		t.Errorf("%d idle connections after the limit fell, want %d", n, smallerLimit)
	}
	makeConcurrentCalls(t, p, address, calls, 0)
	if n := countIdle(p, address); n != calls {
		t.Errorf("%d idle connections without a limit, want %d", n, calls)
	}
	if len(p.inUse) != 0 {
		t.Errorf("connections in use after all calls: %v", p.inUse)
	}
}

// TestPoolMakesRoomForNewConnection makes a call while all idle connections have carried its
// id before, so that it needs a new one. Together with the idle ones it would exceed the limit.
func TestPoolMakesRoomForNewConnection(t *testing.T) {
	const limit = 3
	address := serveAccepted(t, func(net.Conn) {}).address
	p := NewPool(metrics.NewRegistry())
	defer p.Close()
	makeConcurrentCalls(t, p, address, limit, limit)
	for _, c := range p.idle[address] {
		c.recordCall(Call{ID: "again"}, time.Now())
	}
	deadline := time.Now().Add(10 * time.Second)
	call := Call{Address: address, Method: http.MethodGet, Target: "/", ID: "again", Limits: endpoint.Limits{ResponseDeadline: deadline}, MaxConnections: limit}
	open := 0
	err := p.Do(context.Background(), call, endpoint.Sink{OnHead: func(endpoint.Head) error { open = 1 + countIdle(p, address); return nil }})
	if err != nil || open != limit {
		t.Errorf("%d connections open during the call, %v; want %d", open, err, limit)
	}
}
