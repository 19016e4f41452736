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

// Callers that disconnect early from a streamed answer that would last much longer
// than memoryReleaseBound.
const (
	disconnectOutputTokens = 1600
	disconnectInterval     = 2 * time.Second
	disconnectAfter        = 500 * time.Millisecond
)

// disconnections records when callers of long answers disconnected, by prompt hash.
type disconnections struct {
	mu    sync.Mutex
	times map[string]time.Time
}

// sendDisconnectingCallers sends requests whose callers disconnect early, until ctx ends.
func (r *run) sendDisconnectingCallers(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; sleep(ctx, disconnectInterval) == nil; n++ {
		r.sendDisconnectingCaller(ctx, client, r.fleet.Instances[n%len(r.fleet.Instances)], n)
	}
}

// sendDisconnectingCaller requests a long answer and disconnects after disconnectAfter.
func (r *run) sendDisconnectingCaller(ctx context.Context, client *http.Client, i *fleet.Instance, n int) {
	prompt := fmt.Sprintf("disconnect %d of %s", n, i.Name)
	hash := engine.WordsPrompt(prompt).Hash()
	defer func() {
		r.disconnections.mu.Lock()
		defer r.disconnections.mu.Unlock()
		r.disconnections.times[hash] = time.Now()
	}()
	ctx, disconnect := context.WithTimeout(ctx, disconnectAfter)
	defer disconnect()
	body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, r.cfg.Workload.Model, prompt, disconnectOutputTokens)
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

// checkWorkAfterDisconnect reports an engine that worked long after the caller had
// disconnected.
func (r *run) checkWorkAfterDisconnect(name string, request *engine.RequestRecord) {
	disconnected, ok := r.disconnections.times[request.PromptHash]
	if !ok || request.EndedUnixMS == 0 {
		return // checkMemory reports what is held until the end of the run.
	}
	if late := time.UnixMilli(request.EndedUnixMS).Sub(disconnected); late > memoryReleaseBound {
		r.findings.add(MemoryIsFreed, "%s worked on request %s of holder %s until %.1fs after its caller disconnected",
			name, request.RID, request.Holder, late.Seconds())
	}
}
