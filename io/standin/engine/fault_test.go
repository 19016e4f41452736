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

// inject activates a fault.
func inject(t *testing.T, e *Engine, f control.Fault) {
	t.Helper()
	if err := e.Inject(f); err != nil {
		t.Fatal(err)
	}
}

func TestStreamFaults(t *testing.T) {
	decode := startEngine(t, WithInterToken(2*time.Millisecond, 0))
	want := ExpectedTokens(WordsPrompt("a b"), 8)
	request := completionBody{Prompt: "a b", MaxTokens: 8}

	inject(t, decode, control.Fault{Kind: control.CutStream, AfterTokens: 3, Count: 1})
	got, err := runDecode(t.Context(), decode, "cut", request)
	if err == nil || got.done || !slices.Equal(got.tokens, want[:3]) {
		t.Errorf("CutStream: %+v, %v", got, err)
	}

	inject(t, decode, control.Fault{Kind: control.StallStream, AfterTokens: 2, Count: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	got, err = runDecode(ctx, decode, "stall", request)
	if err == nil || got.done || !slices.Equal(got.tokens, want[:2]) {
		t.Errorf("StallStream: %+v, %v", got, err)
	}

	inject(t, decode, control.Fault{Kind: control.CrossAnswer, Count: 1})
	got, err = runDecode(t.Context(), decode, "cross", request)
	if err != nil || got.ids["cross"] || slices.Equal(got.tokens, want) {
		t.Errorf("CrossAnswer: %+v, %v", got, err)
	}

	got, err = runDecode(t.Context(), decode, "unaffected", request)
	if err != nil || !got.done || !slices.Equal(got.tokens, want) {
		t.Errorf("after the faults affected their requests: %+v, %v", got, err)
	}
}

// A stalled transfer holds memory on both engines after the client has disconnected,
// until both requests are aborted.
func TestStalledTransferHoldsBothEngines(t *testing.T) {
	prefill, decode := startPair(t)
	prefilled := runPrefill(t, prefill, "a1", "a b c")
	inject(t, prefill, control.Fault{Kind: control.StallTransfer})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	request := completionBody{Prompt: "a b c", MaxTokens: 3, KVTransferParams: &prefilled.KVTransferParams}
	if _, err := runDecode(ctx, decode, "a2", request); err == nil {
		t.Error("the transfer did not stall")
	}
	// Longer than the 800 ms after which the prefill result would expire if its
	// transfer had not begun.
	time.Sleep(time.Second)
	for _, e := range []*Engine{prefill, decode} {
		held := e.Record().Held
		if len(held) != 1 || held[0].Phase != Transfer {
			t.Errorf("%s holds %+v", e.cfg.name, held)
		}
	}
	if !abort(t, decode, "a2") || !abort(t, prefill, "a1") {
		t.Error("an abort found no active request")
	}
	if n := prefill.Record().Counts.WastedPrefillTokens; n != 3 {
		t.Errorf("%d wasted prefill tokens, want 3", n)
	}
}

func TestStalledTransferResumes(t *testing.T) {
	prefill, decode := startPair(t)
	prefilled := runPrefill(t, prefill, "a1", "a b c")
	inject(t, prefill, control.Fault{Kind: control.StallTransfer, Count: 1})
	go func() {
		time.Sleep(100 * time.Millisecond)
		prefill.Clear(control.StallTransfer)
	}()
	got, err := runDecode(t.Context(), decode, "a2", completionBody{Prompt: "a b c", MaxTokens: 3, KVTransferParams: &prefilled.KVTransferParams})
	if err != nil || !got.done {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestPromptHashMismatchFailsTransfer(t *testing.T) {
	prefill, decode := startPair(t)
	prefilled := runPrefill(t, prefill, "a1", "a b c")
	got, err := runDecode(t.Context(), decode, "a2", completionBody{Prompt: "d e f", MaxTokens: 3, KVTransferParams: &prefilled.KVTransferParams})
	if err != nil || got.status != http.StatusBadGateway {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	prefill, decode := startPair(t, WithModels("m"))
	cases := []struct {
		engine  *Engine
		id      string
		request completionBody
		status  int
	}{
		{decode, "", completionBody{Model: "m", Prompt: "a", MaxTokens: 1}, http.StatusBadRequest},
		{decode, "a1", completionBody{Model: "m", MaxTokens: 1}, http.StatusBadRequest},
		{decode, "a2", completionBody{Model: "m", Prompt: "a"}, http.StatusBadRequest},
		{decode, "a3", completionBody{Model: "n", Prompt: "a", MaxTokens: 1}, http.StatusNotFound},
		{prefill, "a4", completionBody{Model: "m", Prompt: "a", MaxTokens: 1}, http.StatusConflict},
	}
	for _, c := range cases {
		response, err := post(t.Context(), c.engine, "/v1/completions", c.id, c.request)
		if err != nil {
			t.Fatal(err)
		}
		if text := readBody(response); response.StatusCode != c.status {
			t.Errorf("%+v: %d %s", c.request, response.StatusCode, text)
		}
	}
}

// The order o1 is still being executed when o2 with a higher fencing number arrives,
// and o3 has a lower one than o2. Without fencing checks all of them take effect.
func TestOrderFencing(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		e := startEngine(t, WithModels("m"), WithFencing(checksFencing), WithOrderDuration(100*time.Millisecond))
		supersededStatus := make(chan int, 1)
		go func() {
			supersededStatus <- sendOrder(t, e, `{"order_id":"o1","fencing":1,"kind":"set_version","model":"m","version":"old"}`)
		}()
		waitFor(t, "the first order to be received", func() bool { return len(e.Record().Orders) == 1 })
		if status := sendOrder(t, e, `{"order_id":"o2","fencing":2,"kind":"set_version","model":"m","version":"new"}`); status != http.StatusOK {
			t.Errorf("order with a newer fencing number: status %d", status)
		}
		if status := <-supersededStatus; (status == http.StatusConflict) != checksFencing {
			t.Errorf("fencing checks %v: status %d of an order superseded while running", checksFencing, status)
		}
		if status := sendOrder(t, e, `{"order_id":"o3","fencing":1,"kind":"load_adapter","model":"m","adapter":"x"}`); (status == http.StatusConflict) != checksFencing {
			t.Errorf("fencing checks %v: status %d of an order with a stale fencing number", checksFencing, status)
		}
		orders := e.Record().Orders
		if !orders[0].Overlapping || orders[0].Stale == checksFencing || orders[2].Stale == checksFencing {
			t.Errorf("fencing checks %v: %+v", checksFencing, orders)
		}
		if conflicts := e.Record().ConflictingOrders(); (len(conflicts) == 0) != checksFencing {
			t.Errorf("fencing checks %v: conflicts %+v", checksFencing, conflicts)
		}
		if state := e.orders.snapshot(); state.Models[0].Version != "new" || state.Fencing != 2 {
			t.Errorf("state: %+v", state)
		}
	}
}

// sendOrder sends an order and returns the status of the response.
func sendOrder(t *testing.T, e *Engine, text string) int {
	t.Helper()
	response, err := http.Post("http://"+e.Address()+"/orders", "application/json", strings.NewReader(text))
	if err != nil {
		t.Error(err)
		return 0
	}
	_ = readBody(response)
	return response.StatusCode
}
