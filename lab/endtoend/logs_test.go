package endtoend

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"
)

// timeoutContext returns the context of the test with a timeout.
func timeoutContext(t *testing.T, d time.Duration) (context.Context, context.CancelFunc) {
	t.Helper()
	return context.WithTimeout(t.Context(), d)
}

// testRequestIDInLogs sends requests with an X-Request-Id, and checks that all
// instances involved log each of them under the same internal request id.
func (w *testFleet) testRequestIDInLogs(t *testing.T) {
	seenBy := make(map[string]bool) // Instances that logged requests received by another instance.
	for _, i := range w.Instances {
		given := "trace-" + i.Name
		a := completionRequest(w.model, "traced through "+i.Name, shortAnswerTokens, false)
		a.header = map[string]string{"X-Request-Id": given}
		if got := w.caller.mustCall(t, i, http.StatusOK, a); got.header.Get("X-Request-Id") != given {
			t.Errorf("answered with id %q", got.header.Get("X-Request-Id"))
		}
		w.waitLogged(t, i.Process.Log, given, "request done")
		for name, id := range w.requestIDs(t, given) {
			if id != w.requestIDs(t, given)[i.Name] {
				t.Errorf("%s logs request %q, %s logs %q", name, id, i.Name, w.requestIDs(t, given)[i.Name])
			}
			if name != i.Name {
				seenBy[name] = true
			}
		}
	}
	if len(seenBy) == 0 {
		t.Error("no instance logged a request received by another instance")
	}
	i := w.Instances[0]
	a := requestSpec{method: http.MethodGet, path: "/nowhere", header: map[string]string{"X-Request-Id": "trace-refused"}}
	w.caller.mustCall(t, i, http.StatusNotFound, a)
	w.waitLogged(t, i.Process.Log, "trace-refused", "UnknownRoute")
}

// waitLogged waits until a log line contains both id and word.
func (w *testFleet) waitLogged(t *testing.T, log func() string, id, word string) {
	t.Helper()
	deadline := time.Now().Add(settleTimeout)
	for time.Now().Before(deadline) {
		for line := range strings.Lines(log()) {
			if strings.Contains(line, id) && strings.Contains(line, word) {
				return
			}
		}
		time.Sleep(pollInterval)
	}
	t.Fatalf("no line with %s and %q in:\n%s", id, word, log())
}

// requestIDs returns, by the name of each instance that logged the request, the
// internal id on its log lines. All lines of an instance must have the same id.
func (w *testFleet) requestIDs(t *testing.T, given string) map[string]string {
	t.Helper()
	ids := make(map[string]string)
	for _, i := range w.Instances {
		for line := range strings.Lines(i.Process.Log()) {
			if !strings.Contains(line, given) {
				continue
			}
			id := logField(line, "request")
			if id == "" || (ids[i.Name] != "" && ids[i.Name] != id) {
				t.Errorf("%s: request id %q after %q in %s", i.Name, id, ids[i.Name], line)
			}
			ids[i.Name] = id
		}
	}
	return ids
}

// logField returns the value of a key=value field of a log line, or "".
func logField(line, name string) string {
	for _, word := range strings.Fields(line) {
		if value, ok := strings.CutPrefix(word, name+"="); ok {
			return value
		}
	}
	return ""
}
