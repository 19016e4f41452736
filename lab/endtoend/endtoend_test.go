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

	// The programs are built by the test. Their code is named here, so that a
	// result from before a change of it is not taken from the cache.
	_ "monsoonfork/cmd/monsoonfork/verb"
	"monsoonfork/io/standin/control"
	"monsoonfork/io/standin/engine"
	"monsoonfork/io/standin/service"
	"monsoonfork/lab/fleet"
	"monsoonfork/lab/process"
	"monsoonfork/lab/workload"
)

// Times of the test.
const (
	startTimeout  = time.Minute
	settleTimeout = 8 * time.Second
	pollInterval  = 50 * time.Millisecond
	bookingTime   = 600 * time.Millisecond
)

// Lengths of answers.
const (
	shortAnswer  = 12
	longAnswer   = 200
	eventsBefore = 5 // Events of the long answer before the instance is killed.
)

// world is a running fleet with a caller.
type world struct {
	*fleet.Fleet
	runner *process.Runner
	caller *caller
	model  string
}

// startWorld starts a fleet of processes. The cleanup ends it and checks that
// nothing of it is left.
func startWorld(t *testing.T) *world {
	t.Helper()
	runner, err := process.NewRunner()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeRunner(t, runner) })
	w := workload.Tuinhulp()
	w.Domains = w.Domains[:2]
	w.Prefill, w.Decode, w.Services = 2, 2, 2
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
	return &world{Fleet: f, runner: runner, caller: newCaller(f.Keys[w.Organisations[0].Name]), model: string(w.Model)}
}

// closeRunner ends all processes and checks that none is left, nor a file.
func closeRunner(t *testing.T, runner *process.Runner) {
	if err := runner.Close(); err != nil {
		t.Error(err)
	}
	for _, p := range runner.Processes() {
		select {
		case <-p.Ended():
		default:
			t.Errorf("%s still runs", p.Name)
		}
	}
	if _, err := os.Stat(runner.Dir()); !os.IsNotExist(err) {
		t.Errorf("%s is left: %v", runner.Dir(), err)
	}
}

// TestFromEndToEnd takes requests through a fleet of processes, and kills one
// of the instances under them.
func TestFromEndToEnd(t *testing.T) {
	w := startWorld(t)
	t.Run("WholeAnswer", w.wholeAnswer)
	t.Run("StreamedAnswer", w.streamedAnswer)
	t.Run("Chat", w.chat)
	t.Run("Booking", w.booking)
	t.Run("OpenRoute", w.openRoute)
	t.Run("Refusals", w.refusals)
	t.Run("OneRequestIDInAllLogs", w.oneRequestID)
	t.Run("KilledInstance", w.killedInstance)
}

// expected returns the answer that every engine gives to a prompt.
func expected(prompt string, tokens int) string {
	return engine.ExpectedText(engine.WordsPrompt(prompt), tokens)
}

func (w *world) wholeAnswer(t *testing.T) {
	for _, i := range w.Instances {
		prompt := "visit note read through " + i.Name
		got := decodeWhole(t, w.caller.mustCall(t, i, http.StatusOK, completionAsk(w.model, prompt, shortAnswer, false)).body)
		if got.Choices[0].Text != expected(prompt, shortAnswer) || got.Usage.CompletionTokens != shortAnswer {
			t.Errorf("%s answered %+v", i.Name, got)
		}
	}
	prefills, decodes := w.phases(t, "visit note read through "+w.Instances[0].Name)
	if prefills != 1 || decodes != 1 {
		t.Errorf("%d prefills and %d decodes, want one each", prefills, decodes)
	}
}

// phases counts the engines of each role that ran a prompt.
func (w *world) phases(t *testing.T, prompt string) (prefills, decodes int) {
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

func (w *world) streamedAnswer(t *testing.T) {
	for _, i := range w.Instances {
		prompt := "visit note streamed through " + i.Name
		response, err := w.caller.open(t.Context(), i, completionAsk(w.model, prompt, shortAnswer, true))
		if err != nil {
			t.Fatal(err)
		}
		got := readStream(response.Body, nil)
		_ = response.Body.Close()
		if got.text != expected(prompt, shortAnswer) || got.reason != "length" || !got.done || got.failed != "" {
			t.Errorf("%s streamed %+v", i.Name, got)
		}
	}
}

func (w *world) chat(t *testing.T) {
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"short please"}],"max_tokens":%d}`, w.model, shortAnswer)
	got := decodeWhole(t, w.caller.mustCall(t, w.Instances[1], http.StatusOK, ask{method: http.MethodPost, path: "/v1/chat/completions", body: body}).body)
	if got.Choices[0].Message.Content != expected("user: short please\nassistant:", shortAnswer) {
		t.Errorf("answered %+v", got)
	}
}

// bookingAsk asks for a booking.
func bookingAsk(reference string) ask {
	return ask{
		method: http.MethodPost,
		path:   "/bookings",
		body:   fmt.Sprintf(`{"reference":%q,"client":"frail"}`, reference),
		header: map[string]string{"Idempotency-Key": "key-" + reference, "Content-Type": "application/json"},
	}
}

// runs counts the runs of a booking at all endpoints.
func (w *world) runs(t *testing.T, reference string) int {
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

func (w *world) booking(t *testing.T) {
	first := w.caller.mustCall(t, w.Instances[0], http.StatusCreated, bookingAsk("visit-1"))
	again := w.caller.mustCall(t, w.Instances[3], http.StatusCreated, bookingAsk("visit-1"))
	if first.body != again.body || again.header.Get("Idempotent-Replayed") != "true" {
		t.Errorf("first %s, then %s (%v)", first.body, again.body, again.header)
	}
	if n := w.runs(t, "visit-1"); n != 1 {
		t.Errorf("the booking ran %d times", n)
	}
}

func (w *world) openRoute(t *testing.T) {
	got := newCaller("").call(t.Context(), w.Instances[2], ask{method: http.MethodGet, path: "/status"})
	if got.err != nil || got.status != http.StatusOK || !strings.Contains(got.body, `"ok"`) {
		t.Errorf("%+v", got)
	}
}

func (w *world) refusals(t *testing.T) {
	completion := completionAsk(w.model, "a", 1, false)
	tests := []struct {
		name, kind string
		caller     *caller
		ask        ask
		status     int
	}{
		{"unknown key", "authentication_error", newCaller("mf_nobody"), completion, http.StatusUnauthorized},
		{"unknown route", "unknown_route", w.caller, ask{method: http.MethodGet, path: "/nowhere"}, http.StatusNotFound},
		{"unknown model", "unknown_model", w.caller, completionAsk("nothing", "a", 1, false), http.StatusNotFound},
		{"malformed", "invalid_request_error", w.caller, ask{method: http.MethodPost, path: "/v1/completions", body: "{"}, http.StatusBadRequest},
	}
	for _, test := range tests {
		got := test.caller.call(t.Context(), w.Instances[0], test.ask)
		var body struct{ Error struct{ Type, Ran string } }
		err := json.Unmarshal([]byte(got.body), &body)
		if err != nil || got.status != test.status || body.Error.Type != test.kind || body.Error.Ran != "not run" {
			t.Errorf("%s: %d %s %v", test.name, got.status, got.body, got.err)
		}
	}
}

// killedInstance kills an instance while it streams an answer and while a
// booking runs that it has sent. The caller repeats both through another one.
func (w *world) killedInstance(t *testing.T) {
	victim, other := w.Instances[0], w.Instances[1]
	for _, s := range w.Services {
		slow := control.Fault{Kind: control.Delay, Path: "/bookings", Count: 1, DelayMS: bookingTime.Milliseconds()}
		if err := s.Control.Inject(t.Context(), slow); err != nil {
			t.Fatal(err)
		}
	}
	var calls sync.WaitGroup
	calls.Go(func() {
		if got := w.caller.call(t.Context(), victim, bookingAsk("visit-2")); got.err == nil {
			t.Errorf("the booking was answered by a dead instance: %+v", got)
		}
	})
	const prompt = "the whole file of a client"
	response, err := w.caller.open(t.Context(), victim, completionAsk(w.model, prompt, longAnswer, true))
	if err != nil {
		t.Fatal(err)
	}
	cut := readStream(response.Body, func(n int) {
		if n == eventsBefore {
			_ = victim.Process.Kill()
		}
	})
	_ = response.Body.Close()
	calls.Wait()
	whole := expected(prompt, longAnswer)
	if cut.done || cut.reason != "" || cut.text == "" || !strings.HasPrefix(whole, cut.text) {
		t.Errorf("the cut stream looks whole, or is wrong: %+v", cut)
	}
	again := decodeWhole(t, w.caller.mustCall(t, other, http.StatusOK, completionAsk(w.model, prompt, longAnswer, false)).body)
	if again.Choices[0].Text != whole {
		t.Error("the repeated answer is not whole")
	}
	w.repeatBooking(t, other)
	w.waitFreed(t)
}

// repeatBooking repeats the booking of the killed instance. It may have run, so
// it may be answered as in progress or unknown, but it never runs twice.
func (w *world) repeatBooking(t *testing.T, i *fleet.Instance) {
	t.Helper()
	known := map[string]bool{"call_in_progress": true, "outcome_unknown": true}
	deadline := time.Now().Add(settleTimeout)
	for time.Now().Before(deadline) {
		got := w.caller.call(t.Context(), i, bookingAsk("visit-2"))
		var body struct{ Error struct{ Type, Ran string } }
		_ = json.Unmarshal([]byte(got.body), &body)
		if got.err != nil || (got.status != http.StatusCreated && !known[body.Error.Type]) {
			t.Fatalf("repeated booking: %d %s %v", got.status, got.body, got.err)
		}
		if got.status != http.StatusCreated && body.Error.Ran != "may have run" {
			t.Errorf("it may have run, but the answer says %q", body.Error.Ran)
		}
		if body.Error.Type != "call_in_progress" {
			break
		}
		time.Sleep(pollInterval)
	}
	time.Sleep(bookingTime)
	if n := w.runs(t, "visit-2"); n > 1 {
		t.Errorf("the booking ran %d times", n)
	}
}

// waitFreed waits until no engine holds anything.
func (w *world) waitFreed(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(settleTimeout)
	for {
		held := w.held(t)
		if len(held) == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("engines still hold %v", held)
		}
		time.Sleep(pollInterval)
	}
}

// held lists what the engines hold.
func (w *world) held(t *testing.T) []string {
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
