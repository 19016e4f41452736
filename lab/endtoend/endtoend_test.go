// Package endtoend tests requests through a fleet of processes from the perspective
// of a caller.
package endtoend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	// The test builds and runs the programs. This import makes their code a
	// dependency of the test, so that go test does not reuse a cached result after
	// the code has changed.
	_ "monsoonfork/cmd/monsoonfork/verb"
	"monsoonfork/io/standin/control"
	"monsoonfork/io/standin/engine"
	"monsoonfork/io/standin/service"
	"monsoonfork/lab/fleet"
	"monsoonfork/lab/process"
	"monsoonfork/lab/workload"
)

// Timing of the test.
const (
	startTimeout  = time.Minute
	settleTimeout = 8 * time.Second
	pollInterval  = 50 * time.Millisecond
	bookingDelay  = 600 * time.Millisecond
)

// Lengths of completions in tokens.
const (
	shortAnswerTokens = 12
	longAnswerTokens  = 200
	eventsBeforeKill  = 5 // Stream events received before the instance is killed.
)

// testFleet is a running fleet with a caller.
type testFleet struct {
	*fleet.Fleet
	runner *process.Runner
	caller *caller
	model  string
}

// startTestFleet starts a fleet of processes. The cleanup stops it and checks that no
// process and no file is left.
func startTestFleet(t *testing.T) *testFleet {
	t.Helper()
	runner, err := process.NewRunner()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeRunner(t, runner) })
	w := workload.Tuinhulp()
	w.Domains = w.Domains[:2]
	w.Prefill, w.Decode, w.PlainEndpoints = 2, 2, 2
	spec := fleet.Spec{Workload: w, Instances: 4, HeartbeatMS: 200, LogLevel: "debug", Seed: 1}
	ctx, cancel := timeoutContext(t, startTimeout)
	defer cancel()
	f, err := fleet.Start(ctx, runner, spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	})
	return &testFleet{Fleet: f, runner: runner, caller: newCaller(f.Keys[w.Organisations[0].Name]), model: string(w.Model)}
}

// closeRunner stops all processes and checks that none is running and that the
// directory is removed.
func closeRunner(t *testing.T, runner *process.Runner) {
	if err := runner.Close(); err != nil {
		t.Error(err)
	}
	for _, p := range runner.Processes() {
		select {
		case <-p.Ended():
		default:
			t.Errorf("%s is still running", p.Name)
		}
	}
	if _, err := os.Stat(runner.Dir()); !os.IsNotExist(err) {
		t.Errorf("directory %s still exists: %v", runner.Dir(), err)
	}
}

// TestEndToEnd sends requests through a fleet of processes, and kills an instance
// with open requests.
func TestEndToEnd(t *testing.T) {
	w := startTestFleet(t)
	t.Run("UnstreamedAnswer", w.testCompletion)
	t.Run("StreamedAnswer", w.testStream)
	t.Run("Chat", w.testChat)
	t.Run("Booking", w.testBooking)
	t.Run("OpenRoute", w.testOpenRoute)
	t.Run("Refusals", w.testRefusals)
	t.Run("OneRequestIDInAllLogs", w.testRequestIDInLogs)
	t.Run("KilledInstance", w.testKilledInstance)
}

// expectedText returns the completion that every stand-in engine generates for a
// prompt.
func expectedText(prompt string, tokens int) string {
	return engine.ExpectedText(engine.WordsPrompt(prompt), tokens)
}

// testCompletion requests a completion without streaming at every instance.
func (w *testFleet) testCompletion(t *testing.T) {
	for _, i := range w.Instances {
		prompt := "visit note read through " + i.Name
		got := decodeCompletion(t, w.caller.mustCall(t, i, http.StatusOK, completionRequest(w.model, prompt, shortAnswerTokens, false)).body)
		if got.Choices[0].Text != expectedText(prompt, shortAnswerTokens) || got.Usage.CompletionTokens != shortAnswerTokens {
			t.Errorf("%s answered %+v", i.Name, got)
		}
	}
	prefills, decodes := w.countPhases(t, "visit note read through "+w.Instances[0].Name)
	if prefills != 1 || decodes != 1 {
		t.Errorf("%d prefills and %d decodes, want one each", prefills, decodes)
	}
}

// countPhases counts the engines of each role that ran a prompt.
func (w *testFleet) countPhases(t *testing.T, prompt string) (prefills, decodes int) {
	t.Helper()
	hash := engine.WordsPrompt(prompt).Hash()
	for _, e := range w.Engines {
		var record engine.Record
		if err := e.Control.Record(t.Context(), &record); err != nil {
			t.Fatal(err)
		}
		for _, r := range record.Requests {
			switch {
			case r.PromptHash != hash:
			case e.Role == engine.PrefillRole:
				prefills++
			default:
				decodes++
			}
		}
	}
	return prefills, decodes
}

// testStream requests a streamed completion at every instance.
func (w *testFleet) testStream(t *testing.T) {
	for _, i := range w.Instances {
		prompt := "visit note streamed through " + i.Name
		response, err := w.caller.open(t.Context(), i, completionRequest(w.model, prompt, shortAnswerTokens, true))
		if err != nil {
			t.Fatal(err)
		}
		got := readStream(response.Body, nil)
		_ = response.Body.Close()
		if got.text != expectedText(prompt, shortAnswerTokens) || got.finishReason != "length" || !got.done || got.failure != "" {
			t.Errorf("%s streamed %+v", i.Name, got)
		}
	}
}

// testChat requests a chat completion, whose prompt is built from the messages.
func (w *testFleet) testChat(t *testing.T) {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"short please"}],"max_tokens":%d}`, w.model, shortAnswerTokens)
	got := decodeCompletion(t, w.caller.mustCall(t, w.Instances[1], http.StatusOK, requestSpec{method: http.MethodPost, path: "/v1/chat/completions", body: body}).body)
	if got.Choices[0].Message.Content != expectedText("user: short please\nassistant:", shortAnswerTokens) {
		t.Errorf("answered %+v", got)
	}
}

// bookingRequest returns a request for a booking with an idempotency key.
func bookingRequest(reference string) requestSpec {
	return requestSpec{
		method: http.MethodPost,
		path:   "/bookings",
		body:   fmt.Sprintf(`{"reference":%q,"client":"frail"}`, reference),
		header: map[string]string{"Idempotency-Key": "key-" + reference, "Content-Type": "application/json"},
	}
}

// countBookingRuns counts the runs of a booking at all endpoints.
func (w *testFleet) countBookingRuns(t *testing.T, reference string) int {
	t.Helper()
	n := 0
	for _, s := range w.Services {
		var record service.Record
		if err := s.Control.Record(t.Context(), &record); err != nil {
			t.Fatal(err)
		}
		n += record.ByReference[http.MethodPost+" "+reference]
	}
	return n
}

// testBooking sends a booking twice with the same idempotency key, at two instances.
// The second call must return the first response without a second run.
func (w *testFleet) testBooking(t *testing.T) {
	first := w.caller.mustCall(t, w.Instances[0], http.StatusCreated, bookingRequest("visit-1"))
	again := w.caller.mustCall(t, w.Instances[3], http.StatusCreated, bookingRequest("visit-1"))
	if first.body != again.body || again.header.Get("Idempotent-Replayed") != "true" {
		t.Errorf("first %s, then %s (%v)", first.body, again.body, again.header)
	}
	if n := w.countBookingRuns(t, "visit-1"); n != 1 {
		t.Errorf("the booking ran %d times", n)
	}
}

// testOpenRoute calls a route that needs no API key.
func (w *testFleet) testOpenRoute(t *testing.T) {
	got := newCaller("").call(t.Context(), w.Instances[2], requestSpec{method: http.MethodGet, path: "/status"})
	if got.err != nil || got.status != http.StatusOK || !strings.Contains(got.body, `"ok"`) {
		t.Errorf("status call without a key: %+v", got)
	}
}

// testRefusals sends invalid requests. Each must be refused with its error type and
// as not run.
func (w *testFleet) testRefusals(t *testing.T) {
	completion := completionRequest(w.model, "a", 1, false)
	tests := []struct {
		name, errorType string
		caller          *caller
		request         requestSpec
		status          int
	}{
		{"unknown key", "authentication_error", newCaller("mf_nobody"), completion, http.StatusUnauthorized},
		{"unknown route", "unknown_route", w.caller, requestSpec{method: http.MethodGet, path: "/nowhere"}, http.StatusNotFound},
		{"unknown model", "unknown_model", w.caller, completionRequest("nothing", "a", 1, false), http.StatusNotFound},
		{"malformed", "invalid_request_error", w.caller, requestSpec{method: http.MethodPost, path: "/v1/completions", body: "{"}, http.StatusBadRequest},
	}
	for _, test := range tests {
		got := test.caller.call(t.Context(), w.Instances[0], test.request)
		var body struct{ Error struct{ Type, Ran string } }
		err := json.Unmarshal([]byte(got.body), &body)
		if err != nil || got.status != test.status || body.Error.Type != test.errorType || body.Error.Ran != "not run" {
			t.Errorf("%s: %d %s %v", test.name, got.status, got.body, got.err)
		}
	}
}

// testKilledInstance kills an instance during a streamed completion and a booking,
// and repeats both requests at another instance.
func (w *testFleet) testKilledInstance(t *testing.T) {
	killed, other := w.Instances[0], w.Instances[1]
	for _, s := range w.Services {
		slow := control.Fault{Kind: control.Delay, Path: "/bookings", Count: 1, DelayMS: bookingDelay.Milliseconds()}
		if err := s.Control.Inject(t.Context(), slow); err != nil {
			t.Fatal(err)
		}
	}
	var calls sync.WaitGroup
	calls.Go(func() {
		if got := w.caller.call(t.Context(), killed, bookingRequest("visit-2")); got.err == nil {
			t.Errorf("the booking was answered by the killed instance: %+v", got)
		}
	})
	const prompt = "the whole file of a client"
	response, err := w.caller.open(t.Context(), killed, completionRequest(w.model, prompt, longAnswerTokens, true))
	if err != nil {
		t.Fatal(err)
	}
	cut := readStream(response.Body, func(n int) {
		if n == eventsBeforeKill {
			_ = killed.Process.Kill()
		}
	})
	_ = response.Body.Close()
	calls.Wait()
	want := expectedText(prompt, longAnswerTokens)
	if cut.done || cut.finishReason != "" || cut.text == "" || !strings.HasPrefix(want, cut.text) {
		t.Errorf("the cut stream looks complete, or its text is incorrect: %+v", cut)
	}
	again := decodeCompletion(t, w.caller.mustCall(t, other, http.StatusOK, completionRequest(w.model, prompt, longAnswerTokens, false)).body)
	if again.Choices[0].Text != want {
		t.Error("the repeated answer is incomplete or incorrect")
	}
	w.repeatBooking(t, other)
	w.waitEnginesFree(t)
}

// repeatBooking repeats the booking that the killed instance sent. The booking may
// have run, so the response may be call_in_progress or outcome_unknown, but it must
// never run twice.
func (w *testFleet) repeatBooking(t *testing.T, i *fleet.Instance) {
	t.Helper()
	allowed := map[string]bool{"call_in_progress": true, "outcome_unknown": true}
	deadline := time.Now().Add(settleTimeout)
	for time.Now().Before(deadline) {
		got := w.caller.call(t.Context(), i, bookingRequest("visit-2"))
		var body struct{ Error struct{ Type, Ran string } }
		_ = json.Unmarshal([]byte(got.body), &body)
		if got.err != nil || (got.status != http.StatusCreated && !allowed[body.Error.Type]) {
			t.Fatalf("repeated booking: %d %s %v", got.status, got.body, got.err)
		}
		if got.status != http.StatusCreated && body.Error.Ran != "may have run" {
			t.Errorf("the booking may have run, but the answer has %q", body.Error.Ran)
		}
		if body.Error.Type != "call_in_progress" {
			break
		}
		time.Sleep(pollInterval)
	}
	time.Sleep(bookingDelay)
	if n := w.countBookingRuns(t, "visit-2"); n > 1 {
		t.Errorf("the booking ran %d times", n)
	}
}

// waitEnginesFree waits until no engine holds a request.
func (w *testFleet) waitEnginesFree(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(settleTimeout)
	for {
		held := w.heldRequests(t)
		if len(held) == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("engines still hold %v", held)
		}
		time.Sleep(pollInterval)
	}
}

// heldRequests lists the requests that the engines hold.
func (w *testFleet) heldRequests(t *testing.T) []string {
	t.Helper()
	var held []string
	for _, e := range w.Engines {
		response, err := http.Get("http://" + e.Address + "/requests")
		if err != nil {
			t.Fatal(err)
		}
		var list engine.RequestsResponse
		err = json.NewDecoder(response.Body).Decode(&list)
		_ = response.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range list.Requests {
			held = append(held, e.Name+" "+r.RequestID)
		}
	}
	return held
}
