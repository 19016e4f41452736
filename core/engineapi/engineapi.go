// Package engineapi holds the completions, queries and orders of model engines as roles use
// them, and their messages. Package io/engine carries them over HTTP; docs/PROTOCOLS.md
// specifies the protocol.
package engineapi

import (
	"context"

	"monsoonfork/core/ident"
)

// Calls are the calls of engines besides completions. The Engines role provides them.
type Calls struct {
	State    func(ctx context.Context, to ident.Address) (State, error)
	Requests func(ctx context.Context, to ident.Address) ([]HeldRequest, error) // The requests that an engine holds now.
	Load     func(ctx context.Context, to ident.Address) (Load, error)          // The newest load report.
	// CacheEvents returns the cache events with a sequence number above after.
	CacheEvents func(ctx context.Context, to ident.Address, after int64) (CacheEvents, error)
	// Order sends an order once and returns when the engine confirms that it is done.
	Order func(ctx context.Context, to ident.Address, o Order, s OrderLimits) error
	// Abort cancels an attempt, and reports whether the engine held it.
	Abort func(ctx context.Context, to ident.Address, attempt string) (held bool, err error)
}
