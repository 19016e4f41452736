package httpcall

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/ident"
)

// fixedResponse is a response with a head of usual size.
const fixedResponse = "HTTP/1.1 200 OK\r\nDate: Mon, 07 Dec 2026 02:40:00 GMT\r\nContent-Type: application/json\r\n" +
	"X-Instance-Id: i-7f3a91c2\r\nKeep-Alive: timeout=12\r\nContent-Length: 2\r\n\r\nok"

// serveFixedResponse starts an endpoint that responds to every request with fixedResponse and
// keeps connections open. It returns the address.
func serveFixedResponse(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if _, err := io.WriteString(conn, fixedResponse); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// reportPercentiles reports the median and the 99th percentile of durations.
func reportPercentiles(b *testing.B, durations []time.Duration) {
	slices.Sort(durations)
	b.ReportMetric(float64(durations[len(durations)/2].Nanoseconds()), "p50-ns/op")
	b.ReportMetric(float64(durations[len(durations)*99/100].Nanoseconds()), "p99-ns/op")
}

// BenchmarkNewConnection measures calls with Client, which opens a connection for each.
func BenchmarkNewConnection(b *testing.B) { benchmarkCalls(b, newClient(b)) }

// BenchmarkPool measures calls with Pool on one connection.
func BenchmarkPool(b *testing.B) {
	p := NewPool(metrics.NewRegistry())
	defer p.Close()
	benchmarkCalls(b, p)
}

// benchmarkCalls measures calls to one endpoint.
func benchmarkCalls(b *testing.B, c doer) {
	addr := serveFixedResponse(b)
	body := []byte(strings.Repeat("x", 1000))
	var durations []time.Duration
	for b.Loop() {
		var a recorder
		started := time.Now()
		deadline := started.Add(10 * time.Second)
		call := Call{Address: ident.Address(addr), Method: "POST", Target: "/", Body: body, Limits: endpoint.Limits{ConnectDeadline: deadline, ResponseDeadline: deadline}}
		if err := c.Do(context.Background(), call, a.sink()); err != nil {
			b.Fatal(err)
		}
		durations = append(durations, time.Since(started))
	}
	reportPercentiles(b, durations)
}

// BenchmarkPooledConnection measures calls on one open connection that is never checked:
// a lower bound for any connection pool.
func BenchmarkPooledConnection(b *testing.B) {
	addr := serveFixedResponse(b)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	message, err := encode(Call{Address: ident.Address(addr), Method: "POST", Target: "/", Body: []byte(strings.Repeat("x", 1000)), ID: "r"})
	if err != nil {
		b.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for b.Loop() {
		if _, err := conn.Write(message); err != nil {
			b.Fatal(err)
		}
		r, err := http.ReadResponse(reader, nil)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}
