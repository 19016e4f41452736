package engine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Errors that end a request.
var (
	errAborted = errors.New("aborted")
	errExpired = errors.New("the prefill result was not pulled in time")
	errClosed  = errors.New("the engine is closing")
)

// work is one request that the engine holds. It goes on when the connection of
// its caller closes.
type work struct {
	id      string
	request CompletionRequest
	pieces  int
	ctx     context.Context
	cancel  context.CancelCauseFunc
	answer  string   // Seed of the answer's tokens.
	tokens  chan int // Tokens of the answer; closed at the end.
	kept    chan struct{}
	pulled  chan struct{}
	ended   chan struct{} // Closed when nothing is held any more.

	// The rest is under the lock of the Engine.
	record      *RequestRecord
	pullStarted bool
	err         error
}

// newWork registers a request. It fails when the attempt id is in use.
func (e *Engine) newWork(id, holder string, request CompletionRequest) (*work, error) {
	ctx, cancel := context.WithCancelCause(context.Background())
	w := &work{
		id:      id,
		request: request,
		pieces:  e.piecesFor(request),
		ctx:     ctx,
		cancel:  cancel,
		answer:  answerSeed(request),
		tokens:  make(chan int, request.MaxTokens),
		kept:    make(chan struct{}),
		pulled:  make(chan struct{}),
		ended:   make(chan struct{}),
		record:  newRequestRecord(id, holder, request, time.Now()),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.works[id]; ok {
		cancel(nil)
		return nil, fmt.Errorf("attempt %q is running already", id)
	}
	e.works[id] = w
	e.records = append(e.records, w.record)
	return w, nil
}

// piecesFor returns the memory that a request needs.
func (e *Engine) piecesFor(request CompletionRequest) int {
	tokens := request.Prompt.Len()
	if !request.isPrefill() {
		tokens += len(request.ContinueFrom) + request.MaxTokens
	}
	return (tokens + e.cfg.tokensPerPiece - 1) / e.cfg.tokensPerPiece
}

// answerSeed returns the seed of the answer. Tokens that are not the beginning
// of the answer to the prompt lead to another answer.
func answerSeed(request CompletionRequest) string {
	seed := request.Prompt.Hash()
	expected := ExpectedTokens(request.Prompt, len(request.ContinueFrom))
	if slices.Equal(expected, request.ContinueFrom) {
		return seed
	}
	return hashTokens([]string{seed, fmt.Sprint(request.ContinueFrom)})
}

// start runs the request in the background.
func (e *Engine) start(w *work) {
	e.server.Go(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { w.cancel(errClosed) })
		defer stop()
		e.end(w, e.run(w))
	})
}

// run takes the request through its phases.
func (e *Engine) run(w *work) error {
	held, err := e.admission.acquire(w.ctx, w.request.Priority, w.pieces)
	if err != nil {
		return err
	}
	defer e.admission.release(held)
	e.setHeld(w, w.pieces)
	if w.request.isPrefill() {
		return e.runPrefill(w, held)
	}
	return e.runDecode(w)
}

// runPrefill computes the prompt and keeps the result until it is pulled.
func (e *Engine) runPrefill(w *work, held *ticket) error {
	if err := e.prefill(w); err != nil {
		return err
	}
	e.admission.releaseSlot(held)
	e.setPhase(w, Kept)
	close(w.kept)
	expiry := time.NewTimer(scale(e.cfg.keepFor, e.cfg.timeScale))
	defer expiry.Stop()
	select {
	case <-w.pulled:
		return nil
	case <-w.ctx.Done():
		return context.Cause(w.ctx)
	case <-expiry.C:
	}
	if e.expire(w) {
		return errExpired
	}
	// A transfer that began in time may take as long as it needs.
	select {
	case <-w.pulled:
		return nil
	case <-w.ctx.Done():
		return context.Cause(w.ctx)
	}
}

// prefill computes the part of the prompt that is not cached.
func (e *Engine) prefill(w *work) error {
	e.setPhase(w, Prefill)
	hashes := blockHashes(w.request.Prompt)
	cached := min(e.cache.lookup(hashes), w.request.Prompt.Len()-1)
	computed := w.request.Prompt.Len() - cached
	if err := e.computeTokens(w, computed, e.cfg.prefillBase); err != nil {
		return err
	}
	e.cache.store(hashes, time.Now())
	e.mu.Lock()
	defer e.mu.Unlock()
	w.record.CachedTokens = cached
	w.record.PrefillTokens = computed
	e.counts.PrefillTokens += int64(computed)
	return nil
}

// computeTokens holds the prefill processor for the time that n tokens take.
func (e *Engine) computeTokens(w *work, n int, base time.Duration) error {
	turn, err := e.compute.acquire(w.ctx, w.request.Priority, 0)
	if err != nil {
		return err
	}
	defer e.compute.release(turn)
	seconds := float64(n) / e.cfg.prefillRate
	return sleep(w.ctx, e.duration(base+time.Duration(seconds*float64(time.Second))))
}

// runDecode gets the KV cache of the prompt and produces the answer.
func (e *Engine) runDecode(w *work) error {
	if err := e.prepareDecode(w); err != nil {
		return err
	}
	if n := len(w.request.ContinueFrom); n > 0 {
		if err := e.computeTokens(w, n, 0); err != nil {
			return err
		}
	}
	e.setPhase(w, Decode)
	for i := range w.request.MaxTokens {
		if err := sleep(w.ctx, e.tokenTime()); err != nil {
			return err
		}
		w.tokens <- answerToken(w.answer, len(w.request.ContinueFrom)+i)
		e.countToken(w)
	}
	return nil
}

// prepareDecode gets the KV cache from another engine or computes it here.
func (e *Engine) prepareDecode(w *work) error {
	if w.request.KVTransferParams.DoRemotePrefill {
		e.setPhase(w, Transfer)
		return e.pull(w)
	}
	return e.prefill(w)
}

// tokenTime returns the time to the next token, which grows with the number of
// running requests.
func (e *Engine) tokenTime() time.Duration {
	running, _, _ := e.admission.state()
	fill := float64(running-1) / float64(e.cfg.slots)
	return e.duration(scale(e.cfg.interToken, 1+e.cfg.batchSlowdown*fill))
}

// countToken counts a token of the answer.
func (e *Engine) countToken(w *work) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.record.OutputTokens++
	e.counts.OutputTokens++
}

// setPhase notes the phase of a request.
func (e *Engine) setPhase(w *work, p Phase) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.record.enter(p, time.Now())
}

// setHeld notes the memory that a request holds.
func (e *Engine) setHeld(w *work, pieces int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.record.Pieces = pieces
}

// expire ends a kept result unless its transfer has begun.
func (e *Engine) expire(w *work) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.pullStarted {
		return false
	}
	delete(e.works, w.id)
	return true
}

// end notes the end of a request, whose memory is free by now.
func (e *Engine) end(w *work, err error) {
	if errors.Is(err, context.Canceled) {
		err = context.Cause(w.ctx)
	}
	e.mu.Lock()
	w.err = err
	delete(e.works, w.id)
	w.record.end(err, time.Now())
	e.countWaste(w)
	e.mu.Unlock()
	w.cancel(nil)
	close(w.tokens)
	close(w.ended)
}

// countWaste counts prefill tokens whose result was never decoded. The caller
// holds the lock.
func (e *Engine) countWaste(w *work) {
	r := w.record
	if w.request.isPrefill() && r.Ending != Finished {
		e.counts.WastedPrefillTokens += int64(r.PrefillTokens)
		return
	}
	if !w.request.isPrefill() && r.OutputTokens == 0 {
		e.counts.WastedPrefillTokens += int64(r.PrefillTokens)
		e.counts.PulledNeverDecoded += int64(r.PulledTokens)
	}
}
