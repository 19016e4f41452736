package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"monsoonfork/io/standin/engine"
	"monsoonfork/lab/fleet"
)

// Callers that leave early from an answer that would last much longer than the
// bound for engine memory.
const (
	leaverTokens   = 1600
	leaverInterval = 2 * time.Second
	leaverStays    = 500 * time.Millisecond
)

// leavers keeps when the callers of long answers left, by prompt hash.
type leavers struct {
	mu   sync.Mutex
	left map[string]time.Time
}

// sendLeavers sends callers that leave early until ctx ends.
func (r *run) sendLeavers(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; wait(ctx, leaverInterval) == nil; n++ {
		r.sendLeaver(ctx, client, r.fleet.Instances[n%len(r.fleet.Instances)], n)
	}
}

// sendLeaver asks for a long answer and leaves.
func (r *run) sendLeaver(ctx context.Context, client *http.Client, i *fleet.Instance, n int) {
	prompt := fmt.Sprintf("leaver %d of %s", n, i.Name)
	hash := engine.WordsPrompt(prompt).Hash()
	defer func() {
		r.leavers.mu.Lock()
		defer r.leavers.mu.Unlock()
		r.leavers.left[hash] = time.Now()
	}()
	ctx, leave := context.WithTimeout(ctx, leaverStays)
	defer leave()
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, r.cfg.Workload.Model, prompt, leaverTokens)
	url := "http://" + string(i.Settings.CallerAddress) + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+r.fleet.Keys[r.cfg.Workload.Organisations[0].Name])
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	<-ctx.Done()
}

// checkLeaver looks whether an engine worked for a caller long after it left.
func (r *run) checkLeaver(name string, request *engine.RequestRecord) {
	left, ok := r.leavers.left[request.PromptHash]
	if !ok || request.EndedUnixMS == 0 {
		return // What is held to the end of the run is found by checkMemory.
	}
	if late := time.UnixMilli(request.EndedUnixMS).Sub(left); late > memoryFreeBound {
		r.findings.add(MemoryIsFreed, "%s worked for %s of %s until %.1fs after its caller left",
			name, request.RID, request.Holder, late.Seconds())
	}
}
