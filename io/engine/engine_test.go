package engine

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/io/httpcall"
	"monsoonfork/io/standin/control"
	standin "monsoonfork/io/standin/engine"
)

// pair is a prefill and a decode engine with a client.
type pair struct {
	prefill, decode *standin.Engine
	client          *Client
}

// newPair starts stand-in engines and a client.
func newPair(t *testing.T) pair {
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
	return pair{start("p", standin.PrefillRole), start("d", standin.DecodeRole), New(calls, "a-1")}
}

// run makes one attempt and returns the tokens that came.
func (p pair) run(t *testing.T, attempt, prompt string, maxTokens ident.Tokens, from []int) ([]int, Finish, error) {
	t.Helper()
	limits := httpcall.Limits{WholeBy: time.Now().Add(20 * time.Second), PieceWithin: time.Second}
	pre, err := p.client.Prefill(t.Context(), ident.Address(p.prefill.Address()),
		PrefillCall{Attempt: attempt, Model: "summary", Prompt: TextPrompt(prompt), Limits: limits})
	if err != nil {
		return nil, Finish{}, err
	}
	var ids []int
	finish, err := p.client.Decode(t.Context(), ident.Address(p.decode.Address()), DecodeCall{
		Attempt: attempt, Model: "summary", Prompt: TextPrompt(prompt), MaxTokens: maxTokens,
		ContinueFrom: from, Transfer: pre.Transfer, Limits: limits,
	}, func(d Delta) error { ids = append(ids, d.IDs...); return nil })
	return ids, finish, err
}

func TestPrefillAndDecode(t *testing.T) {
	p := newPair(t)
	prompt := strings.Repeat("word ", 20)
	ids, finish, err := p.run(t, "r.1", prompt, 10, nil)
	if err != nil {
		t.Fatal(err)
	}
	want := standin.ExpectedTokens(standin.WordsPrompt(prompt), 10)
	if !equal(ids, want) || finish.Reason != "length" || finish.Tokens != 10 || finish.PromptTokens != 20 {
		t.Errorf("tokens %v, finish %+v", ids, finish)
	}
	rest, _, err := p.run(t, "r.2", prompt, 4, want[:6])
	if err != nil || !equal(rest, want[6:]) {
		t.Errorf("resumed: %v, %v, want %v", rest, err, want[6:])
	}
}

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

func TestBrokenStreamsAreErrors(t *testing.T) {
	for name, f := range map[string]struct {
		fault control.Fault
		kind  fault.Kind
	}{
		"cut":     {control.Fault{Kind: control.CutStream, AfterTokens: 3}, fault.AnswerBroken},
		"stalled": {control.Fault{Kind: control.StallStream, AfterTokens: 3}, fault.EndpointTimeout},
		"crossed": {control.Fault{Kind: control.CrossAnswer}, fault.AnswerBroken},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			if err := p.decode.Inject(f.fault); err != nil {
				t.Fatal(err)
			}
			ids, _, err := p.run(t, "r.1", "a b c", 10, nil)
			if !fault.Is(err, f.kind) {
				t.Errorf("after %d tokens: %v, want %v", len(ids), err, f.kind)
			}
		})
	}
}

func TestAbortRepeatsUntilAcknowledged(t *testing.T) {
	p := newPair(t)
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
		t.Error("an abort without an acknowledgement gave no error")
	}
}

func TestListings(t *testing.T) {
	p := newPair(t)
	address := ident.Address(p.prefill.Address())
	if held, err := p.client.Requests(t.Context(), address); err != nil || len(held) != 0 {
		t.Errorf("requests: %v, %v", held, err)
	}
	if load, err := p.client.Load(t.Context(), address); err != nil || load.Slots == 0 {
		t.Errorf("load: %+v, %v", load, err)
	}
	if _, err := p.client.KVEvents(t.Context(), address, 0); err != nil {
		t.Error(err)
	}
	if state, err := p.client.State(t.Context(), address); err != nil || state.Role != "prefill" {
		t.Errorf("state: %+v, %v", state, err)
	}
}

func TestOrders(t *testing.T) {
	p := newPair(t)
	address := ident.Address(p.decode.Address())
	by := time.Now().Add(10 * time.Second)
	order := Order{ID: "o1", Fencing: 5, Kind: LoadModel, Model: "drafts", Version: "v1"}
	if err := p.client.Order(t.Context(), address, order, Sending{SendBy: by, DoneBy: by}); err != nil {
		t.Fatal(err)
	}
	order.ID, order.Fencing = "o2", 4
	if err := p.client.Order(t.Context(), address, order, Sending{SendBy: by, DoneBy: by}); !fault.Is(err, fault.NotHolder) {
		t.Errorf("stale order: %v", err)
	}
	order.ID, order.Fencing = "o3", 6
	err := p.client.Order(t.Context(), address, order, Sending{SendBy: time.Now().Add(-time.Second), DoneBy: by})
	if err == nil || fault.From(err).Ran != fault.NotRun {
		t.Errorf("late order: %v", err)
	}
}

func TestPromptChecksItself(t *testing.T) {
	for raw, want := range map[string]bool{
		`"a b"`: true, `[1,2]`: true, `""`: false, `" "`: false, `[]`: false, `[-1]`: false, `{}`: false, `null`: false, `3`: false, `[1.5]`: false,
	} {
		var p Prompt
		err := json.Unmarshal([]byte(raw), &p)
		if (err == nil) != want {
			t.Errorf("%s: %v", raw, err)
		}
	}
	if n := TextPrompt("abcde").UpperTokens(2); n != 3 {
		t.Errorf("upper bound = %d, want 3", n)
	}
	if n := TokenPrompt([]int{1, 2}).UpperTokens(4); n != 2 {
		t.Errorf("upper bound of ids = %d, want 2", n)
	}
	if n := len(TextPrompt(strings.Repeat("w ", 600)).PrefixHashes()); n != 2 {
		t.Errorf("prefix hashes = %d, want 2", n)
	}
}
