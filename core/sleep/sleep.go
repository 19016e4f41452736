// Package sleep waits until a duration has passed or a context ends.
package sleep

import (
	"context"
	"time"
)

// For sleeps for the duration d, or until ctx ends if that is earlier.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
