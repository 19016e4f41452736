package engine

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"monsoonfork/io/standin/control"
)

// inject makes a fault active.
func inject(t *testing.T, e *Engine, f control.Fault) {
	t.Helper()
	if err := e.Inject(f); err != nil {
		t.Fatal(err)
	}
}

func TestStreamFaults(t *testing.T) {
	decode := startEngine(t, WithInterToken(2*time.Millisecond, 0))
	want := ExpectedTokens(WordsPrompt("a b"), 8)
	request := body{Prompt: "a b", MaxTokens: 8}

	inject(t, decode, control.Fault{Kind: control.CutStream, AfterTokens: 3, Count: 1})
	got, err := runDecode(t.Context(), decode, "cut", request)
	if err == nil || got.done || !slices.Equal(got.tokens, want[:3]) {
		t.Errorf("cut: %+v, %v", got, err)
	}

	inject(t, decode, control.Fault{Kind: control.StallStream, AfterTokens: 2, Count: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	got, err = runDecode(ctx, decode, "stall", request)
	if err == nil || got.done || !slices.Equal(got.tokens, want[:2]) {
		t.Errorf("stall: %+v, %v", got, err)
	}

	inject(t, decode, control.Fault{Kind: control.CrossAnswer, Count: 1})
	got, err = runDecode(t.Context(), decode, "cross", request)
	if err != nil || got.ids["cross"] || slices.Equal(got.tokens, want) {
		t.Errorf("cross: %+v, %v", got, err)
	}

	got, err = runDecode(t.Context(), decode, "well", request)
	if err != nil || !got.done || !slices.Equal(got.tokens, want) {
		t.Errorf("after the faults: %+v, %v", got, err)
	}
}

func TestStalledTransferHoldsBothEngines(t *testing.T) {
	prefill, decode := startPair(t)
	answer := runPrefill(t, prefill, "a1", "a b c")
	inject(t, prefill, control.Fault{Kind: control.StallTransfer})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	request := body{Prompt: "a b c", MaxTokens: 3, KVTransferParams: &answer.KVTransferParams}
	if _, err := runDecode(ctx, decode, "a2", request); err == nil {
		t.Error("the transfer did not stall")
	}
	time.Sleep(time.Second)
	for _, e := range []*Engine{prefill, decode} {
		held := e.Record().Held
		if len(held) != 1 || held[0].Phase != Transfer {
			t.Errorf("%s holds %+v", e.cfg.name, held)
		}
	}
	if !abort(t, decode, "a2") || !abort(t, prefill, "a1") {
		t.Error("the aborts found no request")
	}
	if n := prefill.Record().Counts.WastedPrefillTokens; n != 3 {
		t.Errorf("wasted %d tokens, want 3", n)
	}
}

func TestStalledTransferGoesOn(t *testing.T) {
	prefill, decode := startPair(t)
	answer := runPrefill(t, prefill, "a1", "a b c")
	inject(t, prefill, control.Fault{Kind: control.StallTransfer, Count: 1})
	go func() {
		time.Sleep(100 * time.Millisecond)
		prefill.Clear(control.StallTransfer)
	}()
	got, err := runDecode(t.Context(), decode, "a2", body{Prompt: "a b c", MaxTokens: 3, KVTransferParams: &answer.KVTransferParams})
	if err != nil || !got.done {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestAnotherPromptIsRefused(t *testing.T) {
	prefill, decode := startPair(t)
	answer := runPrefill(t, prefill, "a1", "a b c")
	got, err := runDecode(t.Context(), decode, "a2", body{Prompt: "d e f", MaxTokens: 3, KVTransferParams: &answer.KVTransferParams})
	if err != nil || got.status != http.StatusBadGateway {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestRefusals(t *testing.T) {
	prefill, decode := startPair(t, WithModels("m"))
	cases := []struct {
		e      *Engine
		id     string
		b      body
		status int
	}{
		{decode, "", body{Model: "m", Prompt: "a", MaxTokens: 1}, http.StatusBadRequest},
		{decode, "a1", body{Model: "m", MaxTokens: 1}, http.StatusBadRequest},
		{decode, "a2", body{Model: "m", Prompt: "a"}, http.StatusBadRequest},
		{decode, "a3", body{Model: "n", Prompt: "a", MaxTokens: 1}, http.StatusNotFound},
		{prefill, "a4", body{Model: "m", Prompt: "a", MaxTokens: 1}, http.StatusConflict},
	}
	for _, c := range cases {
		response, err := post(t.Context(), c.e, "/v1/completions", c.id, c.b)
		if err != nil {
			t.Fatal(err)
		}
		if text := readBody(response); response.StatusCode != c.status {
			t.Errorf("%+v: %d %s", c.b, response.StatusCode, text)
		}
	}
}

func TestOrders(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := startEngine(t, WithModels("m"), WithFencing(checks), WithOrderTime(100*time.Millisecond))
		slow := make(chan int, 1)
		go func() {
			slow <- order(t, e, `{"order_id":"o1","fencing":1,"kind":"set_version","model":"m","version":"old"}`)
		}()
		waitFor(t, "first order", func() bool { return len(e.Record().Orders) == 1 })
		if status := order(t, e, `{"order_id":"o2","fencing":2,"kind":"set_version","model":"m","version":"new"}`); status != http.StatusOK {
			t.Errorf("newer order: status %d", status)
		}
		if status := <-slow; (status == http.StatusConflict) != checks {
			t.Errorf("checks %v: status %d of the overtaken order", checks, status)
		}
		if status := order(t, e, `{"order_id":"o3","fencing":1,"kind":"load_adapter","model":"m","adapter":"x"}`); (status == http.StatusConflict) != checks {
			t.Errorf("checks %v: status %d of a late order", checks, status)
		}
		orders := e.Record().Orders
		if !orders[0].Overlapping || orders[0].Stale == checks || orders[2].Stale == checks {
			t.Errorf("checks %v: %+v", checks, orders)
		}
		if conflicts := e.Record().ConflictingOrders(); (len(conflicts) == 0) != checks {
			t.Errorf("checks %v: conflicts %+v", checks, conflicts)
		}
		if state := e.orders.state(); state.Models[0].Version != "new" || state.Fencing != 2 {
			t.Errorf("state: %+v", state)
		}
	}
}

// order sends an order and returns the status.
func order(t *testing.T, e *Engine, text string) int {
	t.Helper()
	response, err := http.Post("http://"+e.Address()+"/orders", "application/json", strings.NewReader(text))
	if err != nil {
		t.Error(err)
		return 0
	}
	_ = readBody(response)
	return response.StatusCode
}
