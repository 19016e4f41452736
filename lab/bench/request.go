package bench

import (
	"context"
	"time"

	"monsoonfork/core/endpoint"
	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/placement"
	"monsoonfork/core/text"
)

// maxAttempts is the maximum number of attempts of one request, the first included.
const maxAttempts = 3

// Timeouts of calls to engines.
const (
	prefillTimeout = 3 * time.Second
	stallTimeout   = 1500 * time.Millisecond // Longest time to the first token of the decode phase and between two tokens.
	abortTimeout   = 5 * time.Second
)

// clientRequest is the state of one request at an instance, over all its attempts.
type clientRequest struct {
	instance         *instance
	arrival          Arrival
	prompt           engineapi.Prompt
	dueAt            time.Time // Scheduled arrival time.
	placementRequest placement.Request
	sample           Sample
	delivered        []int // Ids of the completion tokens received so far.
	lastTokenAt      time.Time
}

// serveRequest places a request, runs it on the engines with retries, and returns
// its sample. Latencies count from dueAt, so that they include a late send.
func serveRequest(ctx context.Context, inst *instance, a Arrival, dueAt time.Time) Sample {
	c := &clientRequest{
		instance: inst, arrival: a, prompt: engineapi.TokenPrompt(a.PromptTokens), dueAt: dueAt,
		sample: Sample{Arrival: a, Admitted: true},
	}
	c.placementRequest = placement.Request{
		ID: ident.NewRequestID(), Organisation: a.Organisation, Model: modelName,
		PrefixHashes:       c.prompt.PrefixHashes(),
		FirstTokenDeadline: dueAt.Add(firstTokenTarget), Deadline: dueAt.Add(requestTimeout),
	}
	ctx, cancel := context.WithDeadline(ctx, c.placementRequest.Deadline)
	defer cancel()
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		c.sample.Attempts = attempt
		var retry bool
		retry, c.sample.Err = c.runAttempt(ctx, attempt)
		if !retry {
			break
		}
	}
	c.sample.DeliveredTokens = ident.Tokens(len(c.delivered))
	return c.sample
}

// runAttempt places and runs attempt n, which continues after the tokens delivered
// by earlier attempts. It reports whether to retry after an error.
func (c *clientRequest) runAttempt(ctx context.Context, n int) (retry bool, err error) {
	r := c.placementRequest
	r.Attempt = n
	r.PromptTokens = ident.Tokens(len(c.arrival.PromptTokens) + len(c.delivered))
	r.MaxTokens = c.arrival.MaxTokens - ident.Tokens(len(c.delivered))
	if n > 1 {
		r.FirstTokenDeadline = time.Time{}
	}
	lease, err := c.instance.placement.Place(ctx, r)
	if err != nil {
		if n > 1 {
			err = fault.From(err).WithRan(fault.MayHaveRun)
		}
		return false, err
	}
	deliveredBefore := len(c.delivered)
	result, err := c.runPhases(ctx, lease)
	lease.Close(placement.Outcome{Result: result, OutputTokens: ident.Tokens(len(c.delivered) - deliveredBefore)})
	if err == nil {
		return false, nil
	}
	c.abort(lease)
	c.avoidFailedEngine(lease, result)
	return ctx.Err() == nil, fault.Wrap(err, fault.EndpointFailed, "%s", result)
}

// avoidFailedEngine excludes the engine that failed from the placement of later
// attempts: the decode engine if decoding failed, otherwise the prefill engine.
func (c *clientRequest) avoidFailedEngine(lease *placement.Lease, result placement.Result) {
	if result == placement.DecodeFailed {
		c.placementRequest.Avoid = append(c.placementRequest.Avoid, lease.Decode.Name)
		return
	}
	c.placementRequest.Avoid = append(c.placementRequest.Avoid, lease.Prefill.Name)
}

// abort cancels the attempt on both engines, in the background.
func (c *clientRequest) abort(lease *placement.Lease) {
	for _, e := range []text.Engine{lease.Prefill, lease.Decode} {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
			defer cancel()
			_, _ = c.instance.engineClient.Abort(ctx, e.Address, string(lease.ID))
		}()
	}
}

// runPhases runs the prefill phase and the decode phase of a placed attempt.
func (c *clientRequest) runPhases(ctx context.Context, lease *placement.Lease) (placement.Result, error) {
	prefilled, err := c.instance.engineClient.Prefill(ctx, lease.Prefill.Address, engineapi.PrefillCall{
		Attempt: string(lease.ID), Model: modelName, Prompt: c.prompt, ContinueFrom: c.delivered,
		Limits: endpoint.Limits{ResponseDeadline: time.Now().Add(prefillTimeout)},
	})
	if err != nil {
		return placement.PrefillFailed, err
	}
	lease.PrefillDone()
	deliveredBefore := len(c.delivered)
	_, err = c.instance.engineClient.Decode(ctx, lease.Decode.Address, engineapi.DecodeCall{
		Attempt: string(lease.ID), Model: modelName, Prompt: c.prompt,
		MaxTokens:    c.arrival.MaxTokens - ident.Tokens(deliveredBefore),
		ContinueFrom: append([]int(nil), c.delivered...), Transfer: prefilled.Transfer,
		Limits: endpoint.Limits{
			FirstByteDeadline: time.Now().Add(stallTimeout), ReadTimeout: stallTimeout, ResponseDeadline: c.placementRequest.Deadline,
		},
	}, c.recordDelta)
	switch {
	case err == nil:
		return placement.Completed, nil
	case len(c.delivered) == deliveredBefore:
		return placement.TransferFailed, err
	}
	return placement.DecodeFailed, err
}

// recordDelta records the tokens of one message of the token stream.
func (c *clientRequest) recordDelta(d engineapi.Delta) error {
	for _, id := range d.IDs {
		c.recordToken(id)
	}
	return nil
}

// recordToken records one token and its latency.
func (c *clientRequest) recordToken(id int) {
	now := time.Now()
	if len(c.delivered) == 0 {
		c.sample.FirstTokenLatency = now.Sub(c.dueAt)
	} else {
		c.sample.TokenIntervals = append(c.sample.TokenIntervals, now.Sub(c.lastTokenAt))
	}
	c.lastTokenAt = now
	c.delivered = append(c.delivered, id)
}
