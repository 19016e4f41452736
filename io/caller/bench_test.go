package caller

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// call makes one call and reads its answer. It returns the time to the first
// byte of the body.
func call(b *testing.B, client *http.Client, method, url, body string) time.Duration {
	b.Helper()
	started := time.Now()
	q, err := http.NewRequestWithContext(b.Context(), method, url, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+testKey)
	q.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(q)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = answer.Body.Close() }()
	one := make([]byte, 1)
	_, err = io.ReadFull(answer.Body, one)
	first := time.Since(started)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	if answer.StatusCode/100 != 2 {
		b.Fatalf("status %d", answer.StatusCode)
	}
	return first
}

// BenchmarkPlainCall compares a look-up through the server with one at the
// stand-in itself, which takes 1 ms.
func BenchmarkPlainCall(b *testing.B) {
	r := newRig(b)
	for name, address := range map[string]string{"direct": r.services[0].Address(), "through": r.address} {
		b.Run(name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for b.Loop() {
				call(b, client, "GET", "http://"+address+"/addresses/x", "")
			}
		})
	}
}

// BenchmarkCompletion measures a completion of 50 tokens, 5 ms apart, through
// the server.
func BenchmarkCompletion(b *testing.B) {
	r := newRig(b)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var first time.Duration
	for b.Loop() {
		first += call(b, client, "POST", "http://"+r.address+"/v1/completions", completionBody("a b c", 50, true))
	}
	b.ReportMetric(float64(first.Microseconds())/float64(b.N), "us-to-first-token")
}
