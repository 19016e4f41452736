package engineapi

import (
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// maxLoadCount bounds each count of a load report, so that sums of counts don't overflow.
const maxLoadCount = 1_000_000_000

// HeldRequest is an entry of an engine's list of the requests that it holds.
type HeldRequest struct {
	Attempt string           `json:"rid"`
	Holder  ident.InstanceID `json:"holder"`
	Pieces  ident.Pieces     `json:"pieces"`
}

// Load is an engine's load report. It may be out of date; ReportedUnixMS is the
// time of the report.
type Load struct {
	Running        int          `json:"running"`
	Waiting        int          `json:"waiting"`
	Slots          int          `json:"slots"`
	PiecesUsed     ident.Pieces `json:"pieces_used"`
	ReportedUnixMS int64        `json:"reported_unix_ms"`
}

// Check returns an error of kind AnswerBroken if a count is out of range.
func (l Load) Check() error {
	for _, n := range []int{l.Running, l.Waiting, int(l.PiecesUsed)} {
		if n < 0 || n > maxLoadCount {
			return fault.New(fault.AnswerBroken, "the engine reported a load of %d, want 0 to %d", n, maxLoadCount)
		}
	}
	return nil
}

// CacheEvent is a change of an engine's prefix cache.
type CacheEvent struct {
	Seq         int64    `json:"seq"`
	Type        string   `json:"type"` // "stored", "removed" or "cleared".
	BlockHashes []string `json:"block_hashes"`
}

// CacheEvents is a page of cache events and the sequence number of the newest one.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	Last   int64        `json:"last"`
}

// HasGap reports whether the page lacks any event with a sequence number above after,
// up to Last.
func (p CacheEvents) HasGap(after int64) bool {
	next := after + 1
	for _, e := range p.Events {
		if e.Seq != next {
			return true
		}
		next++
	}
	return next != p.Last+1
}
