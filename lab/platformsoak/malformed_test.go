package platformsoak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"monsoonfork/lab/process"
	"monsoonfork/platform/standin"
)

// malformedRequests is the number of requests of each kind: engines draw one of about a dozen malformed
// lines for each answer.
const malformedRequests = 12

// startTestbed starts one instance with its stand-ins.
func startTestbed(t *testing.T) *testbed {
	t.Helper()
	runner, err := process.NewRunner()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = runner.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), startTimeout)
	defer cancel()
	w, err := newTestbed(ctx, runner, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.stop)
	return w
}

// setBehaviour sets the behaviour of the engines whose name begins with prefix.
func (w *testbed) setBehaviour(prefix string, b standin.Behaviour) {
	for _, p := range w.replicas {
		if strings.HasPrefix(p.name, prefix) {
			p.engine.SetBehaviour(b)
		}
	}
}

// sendAll sends requests on a path at the same time, and passes each answer and its number of runs to
// check.
func (w *testbed) sendAll(t *testing.T, name, path string, check func(a standin.Answer, runs int) bool) {
	t.Helper()
	c := standin.NewCaller()
	defer c.Close()
	var open sync.WaitGroup
	defer open.Wait()
	for n := range malformedRequests {
		q := standin.Request{ID: fmt.Sprintf("%s-%d", name, n), Host: routeHost, Key: "key-quiet", Path: path, Timeout: streamTimeout}
		switch path {
		case "/draft/x", "/letter/x":
			q.Stream, q.Prompt, q.Output, q.Body = true, 500, 100, "prompt"
		case "/order/x":
			q.Body = "order"
		}
		open.Go(func() {
			a := c.Do(t.Context(), string(w.instances[0].settings.CallerAddress), q)
			runs := len(w.engines.Recorder.Runs()[q.ID])
			t.Logf("%s: status %d after %d runs", q.ID, a.Status, runs)
			if a.Err != nil || a.Problem != "" || !check(a, runs) {
				t.Errorf("%s: status %d, problem %q, %v after %d runs", q.ID, a.Status, a.Problem, a.Err, runs)
			}
		})
	}
}

// isAnswered accepts a complete answer.
func isAnswered(a standin.Answer, _ int) bool { return a.Status == http.StatusOK }

// isTrueFailure accepts a failure without a promise, or a refusal of a request that has not run, after at
// most one run.
func isTrueFailure(a standin.Answer, runs int) bool {
	return a.Status == http.StatusBadGateway && runs <= 1 || a.StatesNotRun() && runs == 0
}

// TestMalformedAnswersReachNoCaller guards against an answer of an engine in trouble, with a malformed
// line in its head, that an instance takes for an answer: of a plain service and a stream, to the request
// and to the calls of the instance before it.
func TestMalformedAnswersReachNoCaller(t *testing.T) {
	if testing.Short() {
		t.Skip("runs an instance process")
	}
	w := startTestbed(t)
	w.setBehaviour("plain-0", standin.Malforming)
	w.sendAll(t, "one-plain", "/status/x", isAnswered)
	w.setBehaviour("plain", standin.Malforming)
	w.sendAll(t, "all-plain", "/status/x", func(a standin.Answer, _ int) bool { return a.Status == http.StatusBadGateway })
	w.sendAll(t, "all-plain-once", "/order/x", isTrueFailure)
	w.setBehaviour("plain", standin.Correct)
	w.sendAll(t, "plain-again", "/order/x", isAnswered)

	w.setBehaviour("model-0", standin.Malforming) // Prefills.
	w.sendAll(t, "one-prefill", "/letter/x", isAnswered)
	w.setBehaviour("model-0", standin.Correct)
	w.setBehaviour("model-4", standin.Malforming) // Decodes.
	w.sendAll(t, "one-decode", "/draft/x", isAnswered)
	w.setBehaviour("model", standin.Malforming) // Also the answers to reservations, so that nothing runs.
	w.sendAll(t, "all-models-once", "/letter/x", isTrueFailure)

	if log := w.instances[0].currentProcess().Log(); !strings.Contains(log, `msg="malformed answer of an endpoint" request=all-plain-0 endpoint=127.0.0.1:`) {
		t.Error("the log does not name the engine and the request of a malformed answer")
	}
}
