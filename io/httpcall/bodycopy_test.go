package httpcall

import (
	"io"
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

// TestBodyIsNotCopiedForEachCall sends a large body to several endpoints at once, as a hedge
// does. A copy for each call would multiply the memory of a request until the last call ends.
func TestBodyIsNotCopiedForEachCall(t *testing.T) {
	const calls = 10
	received := make(chan int64, calls)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	body := make([]byte, 2<<20)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				n, _ := io.CopyN(io.Discard, conn, int64(len(body)))
				received <- n
				_, _ = io.Copy(io.Discard, conn) // Until the call ends.
				_ = conn.Close()
			}()
		}
	}()
	pool := NewPool(metrics.NewRegistry())
	defer pool.Close()
	before := heapBytes()
	done := make(chan struct{}, calls)
	deadline := time.Now().Add(3 * time.Second)
	for range calls {
		go func() {
			call := Call{Address: ident.Address(listener.Addr().String()), Method: "POST", Target: "/", Body: body, Limits: Limits{ResponseDeadline: deadline}}
			_ = pool.Do(t.Context(), call, endpoint.Sink{})
			done <- struct{}{}
		}()
	}
	for range calls {
		if n := <-received; n != int64(len(body)) {
			t.Fatalf("an endpoint got %d bytes", n)
		}
	}
	if grown := heapBytes() - before; grown > int64(len(body)) {
		t.Errorf("%d calls with the same body of %d bytes hold %d bytes", calls, len(body), grown)
	}
	_ = listener.Close()
	for range calls {
		<-done
	}
	runtime.KeepAlive(body)
}
