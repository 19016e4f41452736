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
	prefilled := runPrefill(t, prefill, "a1", prompt)
	if prefilled.ID != "a1" || prefilled.Usage.PromptTokens != 7 {
		t.Errorf("prefill: %+v", prefilled)
	}
	got, err := runDecode(t.Context(), decode, "a2", completionBody{Prompt: prompt, MaxTokens: 10, KVTransferParams: &prefilled.KVTransferParams})
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
	got, err := runDecode(t.Context(), decode, "a1", completionBody{Prompt: "a b", MaxTokens: 6, ContinueFrom: want[:4]})
	if err != nil || !slices.Equal(got.tokens, want[4:]) {
		t.Errorf("got %v, %v, want %v", got.tokens, err, want[4:])
	}
	got, err = runDecode(t.Context(), decode, "a2", completionBody{Prompt: "a b", MaxTokens: 6, ContinueFrom: []int{1, 2, 3, 4}})
	if err != nil || slices.Equal(got.tokens, want[4:]) {
		t.Errorf("wrong continue_from tokens gave the expected completion: %v, %v", got.tokens, err)
	}
}

func TestPrefillResultExpires(t *testing.T) {
	prefill, decode := startPair(t, WithResultTTL(50*time.Millisecond))
	prefilled := runPrefill(t, prefill, "a1", "a b c")
	waitFor(t, "the expiry of the prefill result", func() bool { return prefill.Record().PiecesUsed == 0 })
	got, err := runDecode(t.Context(), decode, "a2", completionBody{Prompt: "a b c", MaxTokens: 3, KVTransferParams: &prefilled.KVTransferParams})
	if err != nil || got.status != http.StatusBadGateway {
		t.Errorf("decode of an expired result: %+v, %v", got, err)
	}
	if n := prefill.Record().Counts.WastedPrefillTokens; n != 3 {
		t.Errorf("%d wasted prefill tokens, want 3", n)
	}
}

// A request whose client disconnects holds its memory until it is aborted.
func TestMemoryIsHeldUntilAbort(t *testing.T) {
	_, decode := startPair(t)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		time.Sleep(100 * time.Millisecond)
		cancel()
	}()
	_, err := runDecode(ctx, decode, "a1", completionBody{Prompt: "a", MaxTokens: 10_000})
	if err == nil {
		t.Error("the request did not fail when its context was cancelled")
	}
	time.Sleep(100 * time.Millisecond)
	held := decode.Record().Held
	if len(held) != 1 || held[0].RequestID != "a1" || held[0].Holder != "holder" || held[0].Phase != Decode || held[0].Pieces == 0 {
		t.Errorf("held: %+v", held)
	}
	if !abort(t, decode, "a1") || abort(t, decode, "a1") {
		t.Error("want the first abort to find the request and the second not to")
	}
	if r := decode.Record(); r.PiecesUsed != 0 || r.Requests[0].Outcome != Aborted {
		t.Errorf("after the abort: %+v", r)
	}
}

func TestAdmissionBySlotsMemoryAndPriority(t *testing.T) {
	decode := startEngine(t, WithSlots(1), WithInterToken(20*time.Millisecond, 0))
	ended := make(chan string, 3)
	send := func(id string, priority int) {
		go func() {
			_, _ = runDecode(t.Context(), decode, id, completionBody{Prompt: "a", MaxTokens: 10, Priority: priority})
			ended <- id
		}()
		waitFor(t, id, func() bool {
			return slices.ContainsFunc(decode.Record().Held, func(h HeldRequest) bool { return h.RequestID == id })
		})
	}
	send("first", 0)
	send("normal", 0)
	send("high", 1)
	for _, want := range []string{"first", "high", "normal"} {
		if id := <-ended; id != want {
			t.Errorf("request %s ended, want %s", id, want)
		}
	}
	smallMemory := startEngine(t, WithMemory(4, 1), WithInterToken(20*time.Millisecond, 0))
	go func() { _, _ = runDecode(t.Context(), smallMemory, "one", completionBody{Prompt: "a", MaxTokens: 3}) }()
	waitFor(t, "the first request to hold all pieces", func() bool { return smallMemory.Record().PiecesUsed == 4 })
	go func() { _, _ = runDecode(t.Context(), smallMemory, "two", completionBody{Prompt: "a", MaxTokens: 1}) }()
	waitFor(t, "the second request to be queued", func() bool { return len(smallMemory.Record().Held) == 2 })
	if r := smallMemory.Record(); r.PiecesUsed > 4 {
		t.Errorf("%d pieces are used, want at most 4", r.PiecesUsed)
	}
	response, err := post(t.Context(), smallMemory, "/v1/completions", "three", completionBody{Prompt: "a", MaxTokens: 4})
	if err != nil || response.StatusCode != http.StatusBadRequest {
		t.Errorf("a request larger than the memory: %v, %v", response, err)
	}
	_ = readBody(response)
}

func TestPrefixCacheReducesPrefill(t *testing.T) {
	prefill := startEngine(t, WithRole(PrefillRole), WithCache(4), WithEventDelivery(50*time.Millisecond, 0))
	prompt := promptOfWords(600)
	if n := runPrefill(t, prefill, "a1", prompt).Usage.CachedPromptTokens; n != 0 {
		t.Errorf("first prefill: %d tokens cached, want 0", n)
	}
	if events := prefill.cache.eventsAfter(0, time.Now()); len(events.Events) != 0 {
		t.Errorf("events visible before the delay: %+v", events)
	}
	if n := runPrefill(t, prefill, "a2", prompt).Usage.CachedPromptTokens; n != 512 {
		t.Errorf("second prefill: %d tokens cached, want 512", n)
	}
	runPrefill(t, prefill, "a3", "x "+promptOfWords(1023))
	waitFor(t, "the cache events", func() bool { return prefill.cache.eventsAfter(0, time.Now()).Last == 3 })
	if n := runPrefill(t, prefill, "a4", prompt).Usage.CachedPromptTokens; n != 0 {
		t.Errorf("after eviction: %d tokens cached, want 0", n)
	}
	events := prefill.cache.eventsAfter(0, time.Now()).Events
	if events[0].Type != Stored || len(events[0].BlockHashes) != 2 || events[2].Type != Removed {
		t.Errorf("events: %+v", events)
	}
}

func TestTransfersShareLinkRate(t *testing.T) {
	const size = 1_000_000
	single := measureTransfers(t, 1, size)
	concurrent := measureTransfers(t, 4, size)
	if concurrent < 3*single {
		t.Errorf("one transfer takes %v, four concurrent ones %v; want at least three times as long", single, concurrent)
	}
}

// measureTransfers returns the duration of n concurrent transfers over a link on
// which a single one takes 50 ms.
func measureTransfers(t *testing.T, n int, size int64) time.Duration {
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
	decode := startEngine(t, WithLoadReportInterval(300*time.Millisecond))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = runDecode(ctx, decode, "a1", completionBody{Prompt: "a", MaxTokens: 1000}) }()
	waitFor(t, "the request to start", func() bool { return decode.Record().PiecesUsed > 0 })
	client := control.NewClient(decode.Address())
	var load LoadResponse
	if err := client.Get(t.Context(), "/load", &load); err != nil || load.Running != 0 {
		t.Errorf("load before the next report: %+v, %v, want 0 running requests", load, err)
	}
	waitFor(t, "the next load report", func() bool { return client.Get(t.Context(), "/load", &load) == nil && load.Running == 1 })
}
