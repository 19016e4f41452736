package engine

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"monsoonfork/io/standin/control"
)

func TestPrefillThenDecode(t *testing.T) {
	prefill, decode := startPair(t)
	const prompt = "roof load for a hut near Poprad"
	answer := runPrefill(t, prefill, "a1", prompt)
	if answer.ID != "a1" || answer.Usage.PromptTokens != 7 {
		t.Errorf("prefill: %+v", answer)
	}
	got, err := runDecode(t.Context(), decode, "a2", body{Prompt: prompt, MaxTokens: 10, KVTransferParams: &answer.KVTransferParams})
	if err != nil {
		t.Fatal(err)
	}
	want := ExpectedTokens(WordsPrompt(prompt), 10)
	if !slices.Equal(got.tokens, want) || !got.done || !got.ids["a2"] || len(got.ids) != 1 {
		t.Errorf("got %+v, want %v", got, want)
	}
	for _, e := range []*Engine{prefill, decode} {
		r := e.Record()
		if r.PiecesUsed != 0 || len(r.Held) != 0 || r.Counts.WastedPrefillTokens != 0 {
			t.Errorf("%s: %+v", r.Name, r)
		}
	}
}

func TestContinueFrom(t *testing.T) {
	_, decode := startPair(t)
	want := ExpectedTokens(WordsPrompt("a b"), 10)
	got, err := runDecode(t.Context(), decode, "a1", body{Prompt: "a b", MaxTokens: 6, ContinueFrom: want[:4]})
	if err != nil || !slices.Equal(got.tokens, want[4:]) {
		t.Errorf("got %v, %v, want %v", got.tokens, err, want[4:])
	}
	got, err = runDecode(t.Context(), decode, "a2", body{Prompt: "a b", MaxTokens: 6, ContinueFrom: []int{1, 2, 3, 4}})
	if err != nil || slices.Equal(got.tokens, want[4:]) {
		t.Errorf("wrong tokens were continued as if right: %v, %v", got.tokens, err)
	}
}

func TestKeptResultExpires(t *testing.T) {
	prefill, decode := startPair(t, WithKeepFor(50*time.Millisecond))
	answer := runPrefill(t, prefill, "a1", "a b c")
	waitFor(t, "expiry", func() bool { return prefill.Record().PiecesUsed == 0 })
	got, err := runDecode(t.Context(), decode, "a2", body{Prompt: "a b c", MaxTokens: 3, KVTransferParams: &answer.KVTransferParams})
	if err != nil || got.status != http.StatusBadGateway {
		t.Errorf("decode of an expired result: %+v, %v", got, err)
	}
	if n := prefill.Record().Counts.WastedPrefillTokens; n != 3 {
		t.Errorf("wasted %d tokens, want 3", n)
	}
}

func TestMemoryIsHeldUntilAbort(t *testing.T) {
	_, decode := startPair(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		time.Sleep(100 * time.Millisecond)
		cancel()
	}()
	_, err := runDecode(ctx, decode, "a1", body{Prompt: "a", MaxTokens: 10_000})
	if err == nil {
		t.Error("the caller was not cut")
	}
	time.Sleep(100 * time.Millisecond)
	held := decode.Record().Held
	if len(held) != 1 || held[0].RID != "a1" || held[0].Holder != "holder" || held[0].Phase != Decode || held[0].Pieces == 0 {
		t.Errorf("held: %+v", held)
	}
	if !abort(t, decode, "a1") || abort(t, decode, "a1") {
		t.Error("want one abort that finds the request")
	}
	if r := decode.Record(); r.PiecesUsed != 0 || r.Requests[0].Ending != Aborted {
		t.Errorf("after the abort: %+v", r)
	}
}

func TestSlotsMemoryAndPriority(t *testing.T) {
	decode := startEngine(t, WithSlots(1), WithInterToken(20*time.Millisecond, 0))
	ended := make(chan string, 3)
	send := func(id string, priority int) {
		go func() {
			_, _ = runDecode(t.Context(), decode, id, body{Prompt: "a", MaxTokens: 10, Priority: priority})
			ended <- id
		}()
		waitFor(t, id, func() bool {
			return slices.ContainsFunc(decode.Record().Held, func(h HeldRequest) bool { return h.RID == id })
		})
	}
	send("first", 0)
	send("normal", 0)
	send("high", 1)
	for _, want := range []string{"first", "high", "normal"} {
		if id := <-ended; id != want {
			t.Errorf("%s ended, want %s", id, want)
		}
	}
	small := startEngine(t, WithMemory(4, 1), WithInterToken(20*time.Millisecond, 0))
	go func() { _, _ = runDecode(t.Context(), small, "one", body{Prompt: "a", MaxTokens: 3}) }()
	waitFor(t, "one", func() bool { return small.Record().PiecesUsed == 4 })
	go func() { _, _ = runDecode(t.Context(), small, "two", body{Prompt: "a", MaxTokens: 1}) }()
	waitFor(t, "two", func() bool { return len(small.Record().Held) == 2 })
	if r := small.Record(); r.PiecesUsed > 4 {
		t.Errorf("%d pieces are used", r.PiecesUsed)
	}
	response, err := post(t.Context(), small, "/v1/completions", "three", body{Prompt: "a", MaxTokens: 4})
	if err != nil || response.StatusCode != http.StatusBadRequest {
		t.Errorf("a request larger than the memory: %v, %v", response, err)
	}
	_ = readBody(response)
}

func TestPrefixCacheCutsPrefill(t *testing.T) {
	prefill := startEngine(t, WithRole(PrefillRole), WithCache(4), WithEvents(50*time.Millisecond, 0))
	prompt := words(600)
	if n := runPrefill(t, prefill, "a1", prompt).Usage.CachedPromptTokens; n != 0 {
		t.Errorf("first: %d tokens cached", n)
	}
	if events := prefill.cache.after(0, time.Now()); len(events.Events) != 0 {
		t.Errorf("events before the lag: %+v", events)
	}
	if n := runPrefill(t, prefill, "a2", prompt).Usage.CachedPromptTokens; n != 512 {
		t.Errorf("second: %d tokens cached, want 512", n)
	}
	runPrefill(t, prefill, "a3", "x "+words(1023))
	waitFor(t, "events", func() bool { return prefill.cache.after(0, time.Now()).Last == 3 })
	if n := runPrefill(t, prefill, "a4", prompt).Usage.CachedPromptTokens; n != 0 {
		t.Errorf("after eviction: %d tokens cached", n)
	}
	events := prefill.cache.after(0, time.Now()).Events
	if events[0].Type != Stored || len(events[0].BlockHashes) != 2 || events[2].Type != Removed {
		t.Errorf("events: %+v", events)
	}
}

func TestTransfersShareTheLink(t *testing.T) {
	const size = 1_000_000
	alone := timeTransfers(t, 1, size)
	together := timeTransfers(t, 4, size)
	if together < 3*alone {
		t.Errorf("one transfer takes %v, four at once take %v", alone, together)
	}
}

// timeTransfers returns the time of n transfers at once over a link that needs
// 50 ms for one.
func timeTransfers(t *testing.T, n int, size int64) time.Duration {
	t.Helper()
	l := newLink(float64(size) / 0.05)
	start := time.Now()
	done := make(chan error, n)
	for range n {
		go func() { done <- l.transfer(t.Context(), size, func() bool { return false }) }()
	}
	for range n {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	return time.Since(start)
}

func TestLoadReportsLag(t *testing.T) {
	decode := startEngine(t, WithLoadLag(300*time.Millisecond))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = runDecode(ctx, decode, "a1", body{Prompt: "a", MaxTokens: 1000}) }()
	waitFor(t, "request", func() bool { return decode.Record().PiecesUsed > 0 })
	client := control.NewClient(decode.Address())
	var load LoadAnswer
	if err := client.Get(t.Context(), "/load", &load); err != nil || load.Running != 0 {
		t.Errorf("the report has no lag: %+v, %v", load, err)
	}
	waitFor(t, "report", func() bool { return client.Get(t.Context(), "/load", &load) == nil && load.Running == 1 })
}
