// Package pause waits for a time that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For returns after a time, or when ctx ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
