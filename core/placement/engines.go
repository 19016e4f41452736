package placement

import (
	"context"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// Listed is a request that an engine holds, by its own list.
type Listed struct {
	Lease     LeaseID
	Holder    ident.InstanceID
	Prefilled bool // Past the prefill phase.
	Pieces    ident.Pieces
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
