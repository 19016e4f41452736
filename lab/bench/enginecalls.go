package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/placement"
	"monsoonfork/core/text"
	"monsoonfork/io/standin/engine"
)

// httpClient makes one connection for each call, so that a broken one concerns
// one request.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Limits of the calls to engines.
const (
	prefillTimeout = 3 * time.Second
	stallTimeout   = 1500 * time.Millisecond // Longest time without a token.
	abortTries     = 5
)

// errBroken says that a stream ended before its last token.
var errBroken = errors.New("the stream broke off")

// engineCalls returns the calls that placement makes to engines.
func engineCalls() placement.Engines {
	return placement.Engines{Requests: readRequests, Load: readLoad, CacheEvents: readEvents}
}

// getJSON reads one answer of an engine.
func getJSON(ctx context.Context, e text.Engine, path string, answer any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(e.Address)+path, nil)
	if err != nil {
		return err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(answer)
}

// readRequests reads what an engine holds.
func readRequests(ctx context.Context, e text.Engine) ([]placement.Listed, error) {
	var a engine.RequestsAnswer
	if err := getJSON(ctx, e, "/requests", &a); err != nil {
		return nil, err
	}
	var list []placement.Listed
	for _, r := range a.Requests {
		list = append(list, placement.Listed{
			Lease: placement.LeaseID(r.RID), Holder: ident.InstanceID(r.Holder),
			Prefilled: r.Phase > engine.Prefill, Pieces: ident.Pieces(r.Pieces),
		})
	}
	return list, nil
}

// readLoad reads the load report of an engine.
func readLoad(ctx context.Context, e text.Engine) (placement.Load, error) {
	var a engine.LoadAnswer
	err := getJSON(ctx, e, "/load", &a)
	return placement.Load{
		Running: a.Running, Waiting: a.Waiting, PiecesUsed: ident.Pieces(a.PiecesUsed),
		Reported: time.UnixMilli(a.ReportedUnixMS),
	}, err
}

// eventsAnswer is the answer to GET /kv_events.
type eventsAnswer struct {
	Events []struct {
		Seq         int64    `json:"seq"`
		Type        string   `json:"type"`
		BlockHashes []string `json:"block_hashes"`
	} `json:"events"`
	Last int64 `json:"last"`
}

// readEvents reads the cache events of an engine.
func readEvents(ctx context.Context, e text.Engine, after int64) (placement.CachePage, error) {
	var a eventsAnswer
	if err := getJSON(ctx, e, fmt.Sprintf("/kv_events?after=%d", after), &a); err != nil {
		return placement.CachePage{}, err
	}
	page := placement.CachePage{Last: after}
	for _, ev := range a.Events {
		page.Gap = page.Gap || ev.Seq != page.Last+1
		page.Last = ev.Seq
		page.Events = append(page.Events, placement.CacheEvent{Type: ev.Type, Hashes: ev.BlockHashes})
	}
	return page, nil
}

// post sends a completion request of an attempt to an engine.
func post(ctx context.Context, e text.Engine, id placement.LeaseID, holder ident.InstanceID, path string, body any) (*http.Response, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+string(e.Address)+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Request-Id", string(id))
	req.Header.Set("X-Holder", string(holder))
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%s %s: %s", e.Name, path, resp.Status)
	}
	return resp, nil
}

// completion is the body of a completion request.
type completion struct {
	Model        ident.ModelID         `json:"model"`
	Prompt       []int                 `json:"prompt"`
	MaxTokens    int                   `json:"max_tokens"`
	Stream       bool                  `json:"stream,omitempty"`
	ContinueFrom []int                 `json:"continue_from,omitempty"`
	Transfer     engine.TransferParams `json:"kv_transfer_params"`
}

// prefill runs the prefill phase and returns where its result is.
func prefill(ctx context.Context, l *placement.Lease, holder ident.InstanceID, prompt []int) (engine.TransferParams, error) {
	ctx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	body := completion{
		Model: modelName, Prompt: prompt, MaxTokens: 1,
		Transfer: engine.TransferParams{DoRemoteDecode: true},
	}
	resp, err := post(ctx, l.Prefill, l.ID, holder, "/v1/completions", body)
	if err != nil {
		return engine.TransferParams{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var a engine.PrefillAnswer
	err = json.NewDecoder(resp.Body).Decode(&a)
	return a.KVTransferParams, err
}

// decode runs the decode phase and gives each token to token as it comes.
func decode(ctx context.Context, l *placement.Lease, holder ident.InstanceID, body completion, token func(id int)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(stallTimeout, cancel)
	defer silence.Stop()
	resp, err := post(ctx, l.Decode, l.ID, holder, "/v1/completions", body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		silence.Reset(stallTimeout)
		if data == "[DONE]" {
			return nil
		}
		var event engine.Completion
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return err
		}
		for _, id := range event.Choices[0].TokenIDs {
			token(id)
		}
	}
	return errBroken
}

// abort cancels an attempt on an engine until it acknowledges.
func abort(e text.Engine, id placement.LeaseID, holder ident.InstanceID) {
	for range abortTries {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		resp, err := post(ctx, e, id, holder, "/abort_request", engine.AbortRequest{RID: string(id)})
		cancel()
		if err == nil {
			_ = resp.Body.Close()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}
