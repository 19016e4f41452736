package engine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// The reasons for which a request ends early.
var (
	errAborted = errors.New("aborted")
	errExpired = errors.New("the prefill result was not pulled in time")
	errClosed  = errors.New("the engine is closing")
)

// activeRequest is a request that has not ended. It is processed independently of
// its connection and continues if the client disconnects.
type activeRequest struct {
	id          string
	request     CompletionRequest
	pieces      int
	ctx         context.Context
	cancel      context.CancelCauseFunc
	seed        string        // Seed of the completion tokens.
	tokens      chan int      // Completion tokens; closed when the request ends.
	prefillDone chan struct{} // Closed when the prefill result can be pulled.
	pulled      chan struct{} // Closed when another engine has pulled the prefill result.
	done        chan struct{} // Closed when the request has ended and released its slot and memory.

	// The following fields are protected by the lock of the Engine.
	record      *RequestRecord
	pullStarted bool
	err         error
}

// register adds a request to the active ones. It fails if the id is in use.
func (e *Engine) register(id, holder string, request CompletionRequest) (*activeRequest, error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	a := &activeRequest{
		id:          id,
		request:     request,
		pieces:      e.piecesFor(request),
		ctx:         ctx,
		cancel:      cancel,
		seed:        completionSeed(request),
		tokens:      make(chan int, request.MaxTokens),
		prefillDone: make(chan struct{}),
		pulled:      make(chan struct{}),
		done:        make(chan struct{}),
		record:      newRequestRecord(id, holder, request, time.Now()),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.active[id]; ok {
		cancel(nil)
		return nil, fmt.Errorf("request id %q is already in use", id)
	}
	e.active[id] = a
	e.records = append(e.records, a.record)
	return a, nil
}

// piecesFor returns the number of memory pieces that a request needs: for its prompt
// and, unless it is a prefill, all its completion tokens.
func (e *Engine) piecesFor(request CompletionRequest) int {
	tokens := request.Prompt.Len()
	if !request.isPrefill() {
		tokens += len(request.ContinueFrom) + request.MaxTokens
	}
	return (tokens + e.cfg.tokensPerPiece - 1) / e.cfg.tokensPerPiece
}

// completionSeed returns the seed of the completion: the hash of the prompt. If
// ContinueFrom is not a prefix of the expected completion, the seed differs and the
// tokens that follow are others.
func completionSeed(request CompletionRequest) string {
	promptHash := request.Prompt.Hash()
	expected := ExpectedTokens(request.Prompt, len(request.ContinueFrom))
	if slices.Equal(expected, request.ContinueFrom) {
		return promptHash
	}
	return hashTokens([]string{promptHash, fmt.Sprint(request.ContinueFrom)})
}

// start runs the request in the background.
func (e *Engine) start(a *activeRequest) {
	e.server.Go(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { a.cancel(errClosed) })
		defer stop()
		e.finish(a, e.run(a))
	})
}

// run waits for a slot and memory and processes the request.
func (e *Engine) run(a *activeRequest) error {
	allocated, err := e.admission.acquire(a.ctx, a.request.Priority, a.pieces)
	if err != nil {
		return err
	}
	defer e.admission.release(allocated)
	e.setPieces(a, a.pieces)
	if a.request.isPrefill() {
		return e.runPrefill(a, allocated)
	}
	return e.runDecode(a)
}

// runPrefill computes the prompt, releases the slot and keeps the result in memory
// until it is pulled, expires or is aborted.
func (e *Engine) runPrefill(a *activeRequest, allocated *allocation) error {
	if err := e.prefill(a); err != nil {
		return err
	}
	e.admission.releaseSlot(allocated)
	e.setPhase(a, AwaitingPull)
	close(a.prefillDone)
	expiry := time.NewTimer(scale(e.cfg.resultTTL, e.cfg.timeScale))
	defer expiry.Stop()
	select {
	case <-a.pulled:
		return nil
	case <-a.ctx.Done():
		return context.Cause(a.ctx)
	case <-expiry.C:
	}
	if e.expireResult(a) {
		return errExpired
	}
	// A transfer that began before the expiry may take any time.
	select {
	case <-a.pulled:
		return nil
	case <-a.ctx.Done():
		return context.Cause(a.ctx)
	}
}

// prefill simulates computing the part of the prompt that is not in the prefix cache,
// at least one token.
func (e *Engine) prefill(a *activeRequest) error {
	e.setPhase(a, Prefill)
	hashes := blockHashes(a.request.Prompt)
	cached := min(e.cache.lookup(hashes), a.request.Prompt.Len()-1)
	computed := a.request.Prompt.Len() - cached
	if err := e.computeTokens(a, computed, e.cfg.prefillOverhead); err != nil {
		return err
	}
	e.cache.store(hashes, time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	a.record.CachedTokens = cached
	a.record.PrefillTokens = computed
	e.counts.PrefillTokens += int64(computed)
	return nil
}

// computeTokens occupies the prefill processor for overhead plus the time for n
// tokens.
func (e *Engine) computeTokens(a *activeRequest, n int, overhead time.Duration) error {
	allocated, err := e.compute.acquire(a.ctx, a.request.Priority, 0)
	if err != nil {
		return err
	}
	defer e.compute.release(allocated)
	seconds := float64(n) / e.cfg.prefillRate
	return sleep(a.ctx, e.scaledDuration(overhead+time.Duration(seconds*float64(time.Second))))
}

// runDecode obtains the KV cache of the prompt and generates the completion.
func (e *Engine) runDecode(a *activeRequest) error {
	if err := e.preparePrompt(a); err != nil {
		return err
	}
	if n := len(a.request.ContinueFrom); n > 0 {
		if err := e.computeTokens(a, n, 0); err != nil {
			return err
		}
	}
	e.setPhase(a, Decode)
	for i := range a.request.MaxTokens {
		if err := sleep(a.ctx, e.tokenInterval()); err != nil {
			return err
		}
		a.tokens <- completionToken(a.seed, len(a.request.ContinueFrom)+i)
		e.countToken(a)
	}
	return nil
}

// preparePrompt pulls the KV cache of the prompt from another engine or computes it.
func (e *Engine) preparePrompt(a *activeRequest) error {
	if a.request.KVTransferParams.DoRemotePrefill {
		e.setPhase(a, Transfer)
		return e.pull(a)
	}
	return e.prefill(a)
}

// tokenInterval returns the time until the next token, which grows with the number
// of running requests.
func (e *Engine) tokenInterval() time.Duration {
	running, _, _ := e.admission.usage()
	fill := float64(running-1) / float64(e.cfg.slots)
	return e.scaledDuration(scale(e.cfg.interTokenTime, 1+e.cfg.batchSlowdown*fill))
}

// countToken counts a generated token.
func (e *Engine) countToken(a *activeRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.record.OutputTokens++
	e.counts.OutputTokens++
}

// setPhase records a change of phase.
func (e *Engine) setPhase(a *activeRequest, p Phase) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.record.enterPhase(p, time.Now())
}

// setPieces records the number of memory pieces that a request holds.
func (e *Engine) setPieces(a *activeRequest, pieces int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.record.Pieces = pieces
}

// expireResult removes a request whose prefill result has expired. It returns false
// if a transfer of the result has begun.
func (e *Engine) expireResult(a *activeRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.pullStarted {
		return false
	}
	delete(e.active, a.id)
	return true
}

// finish records the end of a request. Its memory has already been released.
func (e *Engine) finish(a *activeRequest, err error) {
	if errors.Is(err, context.Canceled) {
		err = context.Cause(a.ctx)
	}
	e.mu.Lock()
	a.err = err
	delete(e.active, a.id)
	a.record.finish(err, time.Now())
	e.countWastedTokens(a)
	e.mu.Unlock()
	a.cancel(nil)
	close(a.tokens)
	close(a.done)
}

// countWastedTokens counts computed and pulled tokens of a request that led to no
// completion token. The caller holds the lock.
func (e *Engine) countWastedTokens(a *activeRequest) {
	r := a.record
	if a.request.isPrefill() && r.Outcome != Finished {
		e.counts.WastedPrefillTokens += int64(r.PrefillTokens)
		return
	}
	if !a.request.isPrefill() && r.OutputTokens == 0 {
		e.counts.WastedPrefillTokens += int64(r.PrefillTokens)
		e.counts.PulledNeverDecoded += int64(r.PulledTokens)
	}
}
