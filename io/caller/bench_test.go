package caller

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// benchmarkCall makes a call and reads the response. It returns the time to the first byte
// of the body.
func benchmarkCall(b *testing.B, client *http.Client, method, url, body string) time.Duration {
	b.Helper()
	started := time.Now()
	q, err := http.NewRequestWithContext(b.Context(), method, url, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+testKey)
	q.Header.Set("Content-Type", "application/json")
	res, err := client.Do(q)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	firstByte := make([]byte, 1)
	_, err = io.ReadFull(res.Body, firstByte)
	first := time.Since(started)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, res.Body)
	if res.StatusCode/100 != 2 {
		b.Fatalf("status %d", res.StatusCode)
	}
	return first
}

// BenchmarkPlainCall compares a plain call through the server with a direct one to the
// stand-in service, which takes 1 ms.
func BenchmarkPlainCall(b *testing.B) {
	r := newTestServer(b)
	for name, address := range map[string]string{"direct": r.services[0].Address(), "routed": r.address} {
		b.Run(name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for b.Loop() {
				benchmarkCall(b, client, "GET", "http://"+address+"/addresses/x", "")
			}
		})
	}
}

// BenchmarkCompletion measures a streamed completion of 50 tokens, 5 ms apart, through the
// server.
func BenchmarkCompletion(b *testing.B) {
	r := newTestServer(b)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var first time.Duration
	for b.Loop() {
		first += benchmarkCall(b, client, "POST", "http://"+r.address+"/v1/completions", completionBody("a b c", 50, true))
	}
	b.ReportMetric(float64(first.Microseconds())/float64(b.N), "us-to-first-token")
}
