package placement

import (
	"context"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
)

// Listed is a request that an engine holds, by its own list.
type Listed struct {
	Lease  LeaseID
	Holder ident.InstanceID
	Pieces ident.Pieces
}

// CachePage is what an engine tells of its prefix cache after a sequence
// number.
type CachePage struct {
	Events []CacheEvent
	Last   int64
	Gap    bool // Events before these were lost.
}

// Engines are the calls to engines that placement needs. A nil field turns
// what depends on it off.
type Engines struct {
	Requests    func(ctx context.Context, e text.Engine) ([]Listed, error)
	Load        func(ctx context.Context, e text.Engine) (Load, error)
	CacheEvents func(ctx context.Context, e text.Engine, after int64) (CachePage, error)
}

// EngineCalls returns the calls made by a client.
func EngineCalls(client *engine.Client) Engines {
	return Engines{
		Requests: func(ctx context.Context, e text.Engine) ([]Listed, error) {
			return requestsOf(ctx, client, e)
		},
		Load: func(ctx context.Context, e text.Engine) (Load, error) {
			return loadOf(ctx, client, e)
		},
		CacheEvents: func(ctx context.Context, e text.Engine, after int64) (CachePage, error) {
			return cacheOf(ctx, client, e, after)
		},
	}
}

// requestsOf reads what an engine holds.
func requestsOf(ctx context.Context, client *engine.Client, e text.Engine) ([]Listed, error) {
	held, err := client.Requests(ctx, e.Address)
	if err != nil {
		return nil, err
	}
	list := make([]Listed, 0, len(held))
	for _, h := range held {
		list = append(list, Listed{Lease: LeaseID(h.Attempt), Holder: h.Holder, Pieces: h.Pieces})
	}
	return list, nil
}

// loadOf reads the load report of an engine.
func loadOf(ctx context.Context, client *engine.Client, e text.Engine) (Load, error) {
	l, err := client.Load(ctx, e.Address)
	return Load{
		Running: l.Running, Waiting: l.Waiting, PiecesUsed: l.PiecesUsed,
		Reported: time.UnixMilli(l.ReportedUnixMS),
	}, err
}

// cacheOf reads the cache events of an engine.
func cacheOf(ctx context.Context, client *engine.Client, e text.Engine, after int64) (CachePage, error) {
	p, err := client.KVEvents(ctx, e.Address, after)
	page := CachePage{Last: p.Last, Gap: p.Gap(after)}
	for _, ev := range p.Events {
		page.Events = append(page.Events, CacheEvent{Type: ev.Type, Hashes: ev.BlockHashes})
	}
	return page, err
}
