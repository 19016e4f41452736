package httpcall

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/loglimit"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

// Write implements io.Writer.
func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// TestMalformedResponseIsReported checks that an operator learns which endpoint sends malformed
// responses, and that no byte of them gets into the log or the error.
func TestMalformedResponseIsReported(t *testing.T) {
	logs, registry := &logBuffer{}, metrics.NewRegistry()
	logger := log.NewLogfmtLogger(logs)
	pool, client := NewPool(registry, WithPoolLog(logger)), newClient(t, WithMetrics(registry), WithLog(logger))
	t.Cleanup(pool.Close)
	neverEnd := func(time.Duration, func()) *time.Timer { return nil }
	pool.report.limit.AfterFunc, client.report.limit.AfterFunc = neverEnd, neverEnd
	for part, caller := range map[string]doer{"HTTPCall": client, "HTTPPool": pool} {
		for _, text := range []string{answerWith("X-secret secret: s"), wholeAnswer, bodilessAnswer[:20]} {
			e := newEndpoint(t, writeAnswer(text))
			err := caller.Do(context.Background(), postCall(e), endpoint.Sink{OnHead: func(endpoint.Head) error { return nil }})
			want := "part=" + part + " msg=\"malformed answer of an endpoint\" request=r endpoint=" + string(e.address) + " problem=\"space or tab in the name of a field\""
			if isMalformed := strings.Contains(text, "secret"); strings.Contains(logs.b.String(), want) != isMalformed {
				t.Errorf("%q: error %v, log %q", text, err, logs.b.String())
			}
			if err != nil && strings.Contains(err.Error(), "secret") {
				t.Errorf("error %v has bytes of the response", err)
			}
		}
		e := newEndpoint(t, writeAnswer(answerWith("X-secret secret: s")))
		before := strings.Count(logs.b.String(), "\n")
		for range 2 * loglimit.MaxLines {
			_ = caller.Do(context.Background(), postCall(e), endpoint.Sink{OnHead: func(endpoint.Head) error { return nil }}) // Fails.
		}
		if lines := strings.Count(logs.b.String(), "\n") - before; lines != loglimit.MaxLines {
			t.Errorf("%s: %d lines about one endpoint, want %d", part, lines, loglimit.MaxLines)
		}
		if n := registry.Get(part + ".Malformed").(metrics.Counter).Count(); n != 1+2*loglimit.MaxLines || strings.Contains(logs.b.String(), "secret") {
			t.Errorf("%s: %d responses counted; log %q", part, n, logs.b.String())
		}
	}
}
