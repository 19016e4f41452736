package engine

import (
	"context"
	"net/http"
	"strconv"

	"monsoonfork/core/ident"
)

// Phase is what an engine does for a request that it holds.
type Phase string

// The phases, as engines name them.
const (
	PhaseWaiting  Phase = "waiting"
	PhasePrefill  Phase = "prefill"
	PhaseKept     Phase = "kept"
	PhaseTransfer Phase = "transfer"
	PhaseDecode   Phase = "decode"
)

// Held is one request that an engine holds.
type Held struct {
	Attempt       string           `json:"rid"`
	Holder        ident.InstanceID `json:"holder"`
	Phase         Phase            `json:"phase"`
	Pieces        ident.Pieces     `json:"pieces"`
	StartedUnixMS int64            `json:"started_unix_ms"`
}

// Load is a load report. It lags.
type Load struct {
	Running        int          `json:"running"`
	Waiting        int          `json:"waiting"`
	Slots          int          `json:"slots"`
	PiecesUsed     ident.Pieces `json:"pieces_used"`
	Pieces         ident.Pieces `json:"pieces"`
	ReportedUnixMS int64        `json:"reported_unix_ms"`
}

// CacheEvent tells of a change in an engine's prefix cache.
type CacheEvent struct {
	Seq         int64    `json:"seq"`
	Type        string   `json:"type"` // "stored", "removed" or "cleared".
	BlockHashes []string `json:"block_hashes"`
}

// CacheEvents is a page of cache events.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Last   int64        `json:"last"`
}

// Gap reports whether events between after and the page's last were lost.
func (p CacheEvents) Gap(after int64) bool {
	next := after + 1
	for _, e := range p.Events {
		if e.Seq != next {
			return true
		}
		next++
	}
	return next != p.Last+1
}

// Requests lists what an engine holds now.
func (c *Client) Requests(ctx context.Context, to ident.Address) ([]Held, error) {
	var answer struct {
		Requests []Held `json:"requests"`
	}
	err := c.short(ctx, to, http.MethodGet, "/requests", nil, &answer, c.shortLimits())
	return answer.Requests, err
}

// Load returns an engine's newest load report.
func (c *Client) Load(ctx context.Context, to ident.Address) (Load, error) {
	var load Load
	err := c.short(ctx, to, http.MethodGet, "/load", nil, &load, c.shortLimits())
	return load, err
}

// KVEvents returns the cache events after a sequence number.
func (c *Client) KVEvents(ctx context.Context, to ident.Address, after int64) (CacheEvents, error) {
	var page CacheEvents
	target := "/kv_events?after=" + strconv.FormatInt(after, 10)
	err := c.short(ctx, to, http.MethodGet, target, nil, &page, c.shortLimits())
	return page, err
}
