package bench

import (
	"context"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/placement"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
	"monsoonfork/io/httpcall"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// Limits of the calls to engines.
const (
	prefillTimeout = 3 * time.Second
	stallTimeout   = 1500 * time.Millisecond // Longest time without a token.
	abortTimeout   = 5 * time.Second
)

// call is one request on its way through an instance.
type call struct {
	entry    *entry
	arrival  Arrival
	prompt   engine.Prompt
	due      time.Time // When the arrival was to be sent.
	request  placement.Request
	sample   Sample
	tokens   []int
	lastSeen time.Time
}

// serveDirect takes an arrival through placement and the engines.
func serveDirect(ctx context.Context, e *entry, a Arrival, due time.Time) Sample {
	c := &call{
		entry: e, arrival: a, prompt: engine.TokenPrompt(a.Prompt), due: due,
		sample: Sample{Arrival: a, Admitted: true},
	}
	c.request = placement.Request{
		ID: ident.NewRequestID(), Organisation: a.Organisation, Model: modelName,
		PrefixHashes:       c.prompt.PrefixHashes(),
		FirstTokenDeadline: due.Add(firstTokenTarget), Deadline: due.Add(requestTimeout),
	}
	ctx, cancel := context.WithDeadline(ctx, c.request.Deadline)
	defer cancel()
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		c.sample.Attempts = attempt
		var again bool
		again, c.sample.Err = c.attempt(ctx, attempt)
		if !again {
			break
		}
	}
	c.sample.Tokens = ident.Tokens(len(c.tokens))
	return c.sample
}

// attempt makes one attempt, which goes on after the tokens that have come. It
// reports whether another attempt may help.
func (c *call) attempt(ctx context.Context, n int) (again bool, err error) {
	r := c.request
	r.Attempt = n
	r.PromptTokens = ident.Tokens(len(c.arrival.Prompt) + len(c.tokens))
	r.MaxTokens = c.arrival.MaxTokens - ident.Tokens(len(c.tokens))
	if n > 1 {
		r.FirstTokenDeadline = time.Time{}
	}
	lease, err := c.entry.placement.Place(ctx, r)
	if err != nil {
		if n > 1 {
			err = fault.From(err).WithRan(fault.MayHaveRun)
		}
		return false, err
	}
	before := len(c.tokens)
	result, err := c.run(ctx, lease)
	lease.Close(placement.Outcome{Result: result, OutputTokens: ident.Tokens(len(c.tokens) - before)})
	if err == nil {
		return false, nil
	}
	c.abort(lease)
	c.avoid(lease, result)
	return ctx.Err() == nil, fault.Wrap(err, fault.EndpointFailed, "%s", result)
}

// avoid keeps later attempts away from the engine that failed.
func (c *call) avoid(l *placement.Lease, result placement.Result) {
	if result == placement.DecodeFailed {
		c.request.Avoid = append(c.request.Avoid, l.Decode.Name)
		return
	}
	c.request.Avoid = append(c.request.Avoid, l.Prefill.Name)
}

// abort cancels the attempt on both engines.
func (c *call) abort(l *placement.Lease) {
	for _, e := range []text.Engine{l.Prefill, l.Decode} {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
			defer cancel()
			_, _ = c.entry.engines.Abort(ctx, e.Address, string(l.ID))
		}()
	}
}

// run takes a placed attempt through both phases.
func (c *call) run(ctx context.Context, l *placement.Lease) (placement.Result, error) {
	prefilled, err := c.entry.engines.Prefill(ctx, l.Prefill.Address, engine.PrefillCall{
		Attempt: string(l.ID), Model: modelName, Prompt: c.prompt, ContinueFrom: c.tokens,
		Limits: httpcall.Limits{ResponseDeadline: time.Now().Add(prefillTimeout)},
	})
	if err != nil {
		return placement.PrefillFailed, err
	}
	l.PrefillDone()
	before := len(c.tokens)
	_, err = c.entry.engines.Decode(ctx, l.Decode.Address, engine.DecodeCall{
		Attempt: string(l.ID), Model: modelName, Prompt: c.prompt,
		MaxTokens:    c.arrival.MaxTokens - ident.Tokens(before),
		ContinueFrom: append([]int(nil), c.tokens...), Transfer: prefilled.Transfer,
		Limits: httpcall.Limits{
			FirstByteDeadline: time.Now().Add(stallTimeout), ReadTimeout: stallTimeout, ResponseDeadline: c.request.Deadline,
		},
	}, c.deliver)
	switch {
	case err == nil:
		return placement.Completed, nil
	case len(c.tokens) == before:
		return placement.TransferFailed, err
	}
	return placement.DecodeFailed, err
}

// deliver notes tokens that have come.
func (c *call) deliver(d engine.Delta) error {
	for _, id := range d.IDs {
		c.token(id)
	}
	return nil
}

// token notes a token.
func (c *call) token(id int) {
	now := time.Now()
	if len(c.tokens) == 0 {
		c.sample.First = now.Sub(c.due)
	} else {
		c.sample.Gaps = append(c.sample.Gaps, now.Sub(c.lastSeen))
	}
	c.lastSeen = now
	c.tokens = append(c.tokens, id)
}
