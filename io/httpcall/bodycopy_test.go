package httpcall

import (
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/ident"
)

// heapBytes returns the size of all reachable objects.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC() // Empties the pools.
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestBodyIsNotCopiedForEachCall sends a large body to several endpoints that do not read it. A
// copy for each call would multiply the memory of a request until its calls end.
func TestBodyIsNotCopiedForEachCall(t *testing.T) {
	const calls = 10
	listener, err := net.Listen("tcp", "127.0.0.1:0") // Its connections are not read.
	if err != nil {
		t.Fatal(err)
	}
	body := make([]byte, 8<<20) // More than socket buffers take.
	pool := NewPool(metrics.NewRegistry())
	defer pool.Close()
	before := heapBytes()
	done := make(chan struct{}, calls)
	deadline := time.Now().Add(time.Second)
	for range calls {
		go func() {
			call := Call{Address: ident.Address(listener.Addr().String()), Method: "POST", Target: "/", Body: body, Limits: endpoint.Limits{ResponseDeadline: deadline}}
			_ = pool.Do(t.Context(), call, endpoint.Sink{})
			done <- struct{}{}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	if grown := heapBytes() - before; grown > int64(len(body)) {
		t.Errorf("%d calls with the same body of %d bytes hold %d bytes", calls, len(body), grown)
	}
	_ = listener.Close()
	for range calls {
		<-done
	}
	runtime.KeepAlive(body)
}
