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
	// abortFirstPause is the pause after the first abort that failed.
	abortFirstPause = 50 * time.Millisecond
	// abortLongestPause bounds the pause between two tries.
	abortLongestPause = 2 * time.Second
)

// abortBody is the body of an abort.
type abortBody struct {
	RID string `json:"rid"`
}

// abortAnswer acknowledges an abort.
type abortAnswer struct {
	RID     string `json:"rid"`
	Aborted bool   `json:"aborted"`
}

// Abort tells an engine to end an attempt and tries again until the engine
// acknowledges, or ctx ends. It reports whether the engine held the attempt.
// Aborting one that it does not hold has no effect, so that repeating is safe.
func (c *Client) Abort(ctx context.Context, to ident.Address, attempt string) (held bool, err error) {
	pause := abortFirstPause
	for {
		held, err := c.abortOnce(ctx, to, attempt)
		if err == nil {
			c.aborted.Inc(1)
			return held, nil
		}
		// Jitter keeps the aborts of many attempts at one engine apart.
		wait := pause/2 + rand.N(pause/2)
		select {
		case <-ctx.Done():
			c.unheard.Inc(1)
			return false, err
		case <-time.After(wait):
		}
		pause = min(2*pause, abortLongestPause)
	}
}

// abortOnce sends one abort.
func (c *Client) abortOnce(ctx context.Context, to ident.Address, attempt string) (held bool, err error) {
	var answer abortAnswer
	err = c.short(ctx, to, http.MethodPost, "/abort_request", abortBody{RID: attempt}, &answer, c.shortLimits())
	if err != nil {
		return false, err
	}
	if answer.RID != attempt {
		c.http.CountCrossed()
		return false, fault.New(fault.AnswerBroken, "the engine acknowledged another abort")
	}
	return answer.Aborted, nil
}
