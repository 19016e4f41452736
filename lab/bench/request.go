package bench

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/placement"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 3

// prefixBlock is the number of tokens between two prefix hashes.
const prefixBlock = 256

// call is one request on its way through an instance.
type call struct {
	entry    *entry
	arrival  Arrival
	due      time.Time // When the arrival was to be sent.
	request  placement.Request
	sample   Sample
	tokens   []int
	lastSeen time.Time
}

// serveDirect takes an arrival through placement and the engines.
func serveDirect(ctx context.Context, e *entry, a Arrival, due time.Time) Sample {
	c := &call{entry: e, arrival: a, due: due, sample: Sample{Arrival: a, Admitted: true}}
	c.request = placement.Request{
		ID: ident.NewRequestID(), Organisation: a.Organisation, Model: modelName,
		PrefixHashes:       prefixHashes(a.Prompt),
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
	go abort(lease.Prefill, lease.ID, c.entry.id)
	go abort(lease.Decode, lease.ID, c.entry.id)
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

// run takes a placed attempt through both phases.
func (c *call) run(ctx context.Context, l *placement.Lease) (placement.Result, error) {
	transfer, err := prefill(ctx, l, c.entry.id, c.arrival.Prompt)
	if err != nil {
		return placement.PrefillFailed, err
	}
	l.PrefillDone()
	before := len(c.tokens)
	err = decode(ctx, l, c.entry.id, completion{
		Model: modelName, Prompt: c.arrival.Prompt, MaxTokens: int(c.arrival.MaxTokens) - before,
		Stream: true, ContinueFrom: append([]int(nil), c.tokens...), Transfer: transfer,
	}, c.token)
	switch {
	case err == nil:
		return placement.Completed, nil
	case len(c.tokens) == before:
		return placement.TransferFailed, err
	}
	return placement.DecodeFailed, err
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

// prefixHashes returns the hashes of the first 256 tokens, 512 and so on.
func prefixHashes(prompt []int) []string {
	var hashes []string
	words := make([]string, 0, len(prompt))
	for i, id := range prompt {
		words = append(words, strconv.Itoa(id))
		if (i+1)%prefixBlock == 0 {
			sum := sha256.Sum256([]byte(strings.Join(words, " ")))
			hashes = append(hashes, hex.EncodeToString(sum[:8]))
		}
	}
	return hashes
}
