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

// oneRequestID sends requests with ids of the caller, and finds each under one
// id in the logs of every instance that worked on it.
func (w *world) oneRequestID(t *testing.T) {
	seenBy := make(map[string]bool) // Instances that log of others' requests.
	for _, i := range w.Instances {
		given := "trace-" + i.Name
		a := completionAsk(w.model, "traced through "+i.Name, shortAnswer, false)
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
		t.Error("no instance logs of requests that came to another one")
	}
	i := w.Instances[0]
	a := ask{method: http.MethodGet, path: "/nowhere", header: map[string]string{"X-Request-Id": "trace-refused"}}
	w.caller.mustCall(t, i, http.StatusNotFound, a)
	w.waitLogged(t, i.Process.Log, "trace-refused", "UnknownRoute")
}

// waitLogged waits until a line of a log holds both words.
func (w *world) waitLogged(t *testing.T, log func() string, id, word string) {
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

// requestIDs returns, for each instance that logs of the request, the id that
// all its lines about it bear.
func (w *world) requestIDs(t *testing.T, given string) map[string]string {
	t.Helper()
	ids := make(map[string]string)
	for _, i := range w.Instances {
		for line := range strings.Lines(i.Process.Log()) {
			if !strings.Contains(line, given) {
				continue
			}
			id := field(line, "request")
			if id == "" || (ids[i.Name] != "" && ids[i.Name] != id) {
				t.Errorf("%s: request id %q after %q in %s", i.Name, id, ids[i.Name], line)
			}
			ids[i.Name] = id
		}
	}
	return ids
}

// field returns the value of a field of a log line.
func field(line, name string) string {
	for _, word := range strings.Fields(line) {
		if value, ok := strings.CutPrefix(word, name+"="); ok {
			return value
		}
	}
	return ""
}
