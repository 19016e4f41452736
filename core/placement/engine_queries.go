package placement

import (
	"context"
	"time"

	"monsoonfork/core/engineapi"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// EngineRequest is an entry of an engine's own list of open requests.
type EngineRequest struct {
	Lease  LeaseID
	Holder ident.InstanceID
	Pieces ident.Pieces
}

// CachePage holds the events of an engine's prefix cache after a requested
// sequence number.
type CachePage struct {
	Events       []CacheEvent
	LastSequence int64
	Gap          bool // Events between the requested number and these were lost.
}

// EngineQueries are the engine calls that placement uses. A nil field disables
// the features that depend on it.
type EngineQueries struct {
	Requests    func(ctx context.Context, e text.Engine) ([]EngineRequest, error)
	Load        func(ctx context.Context, e text.Engine) (Load, error)
	CacheEvents func(ctx context.Context, e text.Engine, after int64) (CachePage, error)
}

// NewEngineQueries returns the queries that make these calls.
func NewEngineQueries(calls *engineapi.Calls) EngineQueries {
	return EngineQueries{
		Requests: func(ctx context.Context, e text.Engine) ([]EngineRequest, error) {
			return listRequests(ctx, calls, e)
		},
		Load: func(ctx context.Context, e text.Engine) (Load, error) {
			return readLoad(ctx, calls, e)
		},
		CacheEvents: func(ctx context.Context, e text.Engine, after int64) (CachePage, error) {
			return readCacheEvents(ctx, calls, e, after)
		},
	}
}

// listRequests returns the open requests of an engine.
func listRequests(ctx context.Context, calls *engineapi.Calls, e text.Engine) ([]EngineRequest, error) {
	requests, err := calls.Requests(ctx, e.Address)
	if err != nil {
		return nil, err
	}
	list := make([]EngineRequest, 0, len(requests))
	for _, h := range requests {
		list = append(list, EngineRequest{Lease: LeaseID(h.Attempt), Holder: h.Holder, Pieces: h.Pieces})
	}
	return list, nil
}

// readLoad returns the load report of an engine.
func readLoad(ctx context.Context, calls *engineapi.Calls, e text.Engine) (Load, error) {
	l, err := calls.Load(ctx, e.Address)
	return Load{
		Running: l.Running, Waiting: l.Waiting, PiecesUsed: l.PiecesUsed,
		Reported: time.UnixMilli(l.ReportedUnixMS),
	}, err
}

// readCacheEvents returns the cache events of an engine after a sequence number.
func readCacheEvents(ctx context.Context, calls *engineapi.Calls, e text.Engine, after int64) (CachePage, error) {
	p, err := calls.CacheEvents(ctx, e.Address, after)
	page := CachePage{LastSequence: p.Last, Gap: p.HasGap(after)}
	for _, ev := range p.Events {
		page.Events = append(page.Events, CacheEvent{Type: ev.Type, Hashes: ev.BlockHashes})
	}
	return page, err
}
