package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

const (
	// abortInitialBackoff is the delay after the first failed try.
	abortInitialBackoff = 50 * time.Millisecond
	// abortMaxBackoff bounds the delay between two tries.
	abortMaxBackoff = 2 * time.Second
)

// abortBody is the request body of an abort.
type abortBody struct {
	RID string `json:"rid"`
}

// abortResponse is the engine's acknowledgement of an abort.
type abortResponse struct {
	RID     string `json:"rid"`
	Aborted bool   `json:"aborted"`
}

// Abort cancels an attempt at an engine and retries with exponential backoff
// until the engine acknowledges or ctx ends. It reports whether the engine held
// the attempt. Aborting an attempt that the engine does not hold has no effect,
// so retries are safe.
func (c *Client) Abort(ctx context.Context, to ident.Address, attempt string) (held bool, err error) {
	backoff := abortInitialBackoff
	for {
		held, err := c.abortOnce(ctx, to, attempt)
		if err == nil {
			c.abortsAcknowledged.Inc(1)
			return held, nil
		}
		// The jitter spreads the retries for many attempts at one engine.
		wait := backoff/2 + rand.N(backoff/2)
		select {
		case <-ctx.Done():
			c.abortsUnacknowledged.Inc(1)
			return false, err
		case <-time.After(wait):
		}
		backoff = min(2*backoff, abortMaxBackoff)
	}
}

// abortOnce sends one abort request.
func (c *Client) abortOnce(ctx context.Context, to ident.Address, attempt string) (held bool, err error) {
	var response abortResponse
	err = c.doShortCall(ctx, to, http.MethodPost, "/abort_request", abortBody{RID: attempt}, &response, c.shortCallLimits())
	if err != nil {
		return false, err
	}
	if response.RID != attempt {
		c.http.CountMismatchedID()
		return false, fault.New(fault.AnswerBroken, "the engine acknowledged the abort of another attempt")
	}
	return response.Aborted, nil
}
