package engine

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/io/httpcall"
	"monsoonfork/io/standin/control"
	standin "monsoonfork/io/standin/engine"
)

// enginePair is a simulated prefill engine, a simulated decode engine and a client
// for both.
type enginePair struct {
	prefill, decode *standin.Engine
	client          *Client
}

// newEnginePair starts two simulated engines and returns them with a client.
func newEnginePair(t *testing.T) enginePair {
	t.Helper()
	start := func(name string, role standin.Role) *standin.Engine {
		e := standin.New(standin.WithName(name), standin.WithRole(role), standin.WithModels("summary"),
			standin.WithPrefill(100_000, time.Millisecond), standin.WithInterToken(2*time.Millisecond, 0), standin.WithFencing(true))
		if err := e.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = e.Close() })
		return e
	}
	calls, err := httpcall.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(calls.Close)
	return enginePair{start("p", standin.PrefillRole), start("d", standin.DecodeRole), New(calls, "a-1")}
}

// runAttempt runs the prefill and decode phases of one attempt and returns the
// tokens received.
func (p enginePair) runAttempt(t *testing.T, attempt, prompt string, maxTokens ident.Tokens, continueFrom []int) ([]int, engineapi.Finish, error) {
	t.Helper()
	limits := endpoint.Limits{ResponseDeadline: time.Now().Add(20 * time.Second), ReadTimeout: time.Second}
	prefilled, err := p.client.Prefill(t.Context(), ident.Address(p.prefill.Address()),
		engineapi.PrefillCall{Attempt: attempt, Model: "summary", Prompt: engineapi.TextPrompt(prompt), Limits: limits})
	if err != nil {
		return nil, engineapi.Finish{}, err
	}
	var ids []int
	finish, err := p.client.Decode(t.Context(), ident.Address(p.decode.Address()), engineapi.DecodeCall{
		Attempt: attempt, Model: "summary", Prompt: engineapi.TextPrompt(prompt), MaxTokens: maxTokens,
		ContinueFrom: continueFrom, Transfer: prefilled.Transfer, Limits: limits,
	}, func(d engineapi.Delta) error { ids = append(ids, d.IDs...); return nil })
	return ids, finish, err
}

func TestPrefillAndDecode(t *testing.T) {
	p := newEnginePair(t)
	prompt := strings.Repeat("word ", 20)
	ids, finish, err := p.runAttempt(t, "r.1", prompt, 10, nil)
	if err != nil {
		t.Fatal(err)
	}
	want := standin.ExpectedTokens(standin.WordsPrompt(prompt), 10)
	if !equal(ids, want) || finish.Reason != "length" || finish.Tokens != 10 || finish.PromptTokens != 20 {
		t.Errorf("got tokens %v, finish %+v", ids, finish)
	}
	resumed, _, err := p.runAttempt(t, "r.2", prompt, 4, want[:6])
	if err != nil || !equal(resumed, want[6:]) {
		t.Errorf("resumed attempt: got tokens %v, error %v; want tokens %v", resumed, err, want[6:])
	}
}

// equal reports whether two lists of token ids are equal.
func equal(a, b []int) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// TestInvalidStreamsReturnErrors checks that Decode returns an error for a stream that is
// closed early, stalls or carries the id of another request, so that an incomplete
// response never passes as complete.
func TestInvalidStreamsReturnErrors(t *testing.T) {
	for name, f := range map[string]struct {
		fault control.Fault
		kind  fault.Kind
	}{
		"closed early":     {control.Fault{Kind: control.CutStream, AfterTokens: 3}, fault.AnswerBroken},
		"stalled":          {control.Fault{Kind: control.StallStream, AfterTokens: 3}, fault.EndpointTimeout},
		"other request id": {control.Fault{Kind: control.CrossAnswer}, fault.AnswerBroken},
	} {
		t.Run(name, func(t *testing.T) {
			p := newEnginePair(t)
			if err := p.decode.Inject(f.fault); err != nil {
				t.Fatal(err)
			}
			ids, _, err := p.runAttempt(t, "r.1", "a b c", 10, nil)
			if !fault.Is(err, f.kind) {
				t.Errorf("error after %d tokens: got %v, want kind %v", len(ids), err, f.kind)
			}
		})
	}
}

// TestAbortRetriesUntilAcknowledged checks that Abort retries after failed calls, and
// returns an error if its context ends without an acknowledgement.
func TestAbortRetriesUntilAcknowledged(t *testing.T) {
	p := newEnginePair(t)
	if err := p.decode.Inject(control.Fault{Kind: control.FailBefore, Path: "/abort_request", Count: 3}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if _, err := p.client.Abort(ctx, ident.Address(p.decode.Address()), "none"); err != nil {
		t.Fatal(err)
	}
	if err := p.decode.Inject(control.Fault{Kind: control.NeverAnswer, Path: "/abort_request"}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel = context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if _, err := p.client.Abort(ctx, ident.Address(p.decode.Address()), "none"); err == nil {
		t.Error("Abort returned no error without an acknowledgement")
	}
}

func TestStateQueries(t *testing.T) {
	p := newEnginePair(t)
	address := ident.Address(p.prefill.Address())
	if held, err := p.client.Requests(t.Context(), address); err != nil || len(held) != 0 {
		t.Errorf("Requests: got %v, error %v; want an empty list", held, err)
	}
	if load, err := p.client.Load(t.Context(), address); err != nil || load.Slots == 0 {
		t.Errorf("Load: got %+v, error %v; want slots", load, err)
	}
	if _, err := p.client.CacheEvents(t.Context(), address, 0); err != nil {
		t.Error(err)
	}
	if state, err := p.client.State(t.Context(), address); err != nil || state.Role != "prefill" {
		t.Errorf("State: got %+v, error %v; want role prefill", state, err)
	}
}

// TestOrderOutcomes checks that an order succeeds with a current fencing number, returns
// NotHolder with an outdated one, and is not sent after SendBy.
func TestOrderOutcomes(t *testing.T) {
	p := newEnginePair(t)
	address := ident.Address(p.decode.Address())
	deadline := time.Now().Add(10 * time.Second)
	order := engineapi.Order{ID: "o1", Fencing: 5, Kind: engineapi.LoadModel, Model: "drafts", Version: "v1"}
	if err := p.client.Order(t.Context(), address, order, engineapi.OrderLimits{SendBy: deadline, ConfirmBy: deadline}); err != nil {
		t.Fatal(err)
	}
	order.ID, order.Fencing = "o2", 4
	if err := p.client.Order(t.Context(), address, order, engineapi.OrderLimits{SendBy: deadline, ConfirmBy: deadline}); !fault.Is(err, fault.NotHolder) {
		t.Errorf("order with an outdated fencing number: got %v, want NotHolder", err)
	}
	order.ID, order.Fencing = "o3", 6
	err := p.client.Order(t.Context(), address, order, engineapi.OrderLimits{SendBy: time.Now().Add(-time.Second), ConfirmBy: deadline})
	if err == nil || fault.From(err).Ran != fault.NotRun {
		t.Errorf("order after SendBy: got %v, want an error with NotRun", err)
	}
}

func TestPromptValidation(t *testing.T) {
	for raw, want := range map[string]bool{
		`"a b"`: true, `[1,2]`: true, `""`: false, `" "`: false, `[]`: false, `[-1]`: false, `{}`: false, `null`: false, `3`: false, `[1.5]`: false,
	} {
		var p engineapi.Prompt
		err := json.Unmarshal([]byte(raw), &p)
		if (err == nil) != want {
			t.Errorf("decoding prompt %s: got error %v", raw, err)
		}
	}
	if n := engineapi.TextPrompt("abcde").TokenUpperBound(2); n != 3 {
		t.Errorf("upper bound for a text prompt = %d, want 3", n)
	}
	if n := engineapi.TokenPrompt([]int{1, 2}).TokenUpperBound(4); n != 2 {
		t.Errorf("upper bound for token ids = %d, want 2", n)
	}
	if n := len(engineapi.TextPrompt(strings.Repeat("w ", 600)).PrefixHashes()); n != 2 {
		t.Errorf("number of prefix hashes = %d, want 2", n)
	}
}
