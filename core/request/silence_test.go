package request

import (
	"context"
	"testing"
	"time"

	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// TestLastAttemptOutlastsSilence has the engines of all attempts but the last fail, and those of
// the last one fall silent for longer than other attempts wait. No other attempt may follow, so
// that the silence must not end the answer.
func TestLastAttemptOutlastsSilence(t *testing.T) {
	t.Parallel()
	const pause = max(interTokenTimeout, minStageTimeout) + 300*time.Millisecond
	p := newSucceedingPipeline()
	defer p.Close()
	attempts := 0
	p.Prefill = func(_ context.Context, _ ident.Address, c engineapi.PrefillCall) (engineapi.PrefillResult, error) {
		attempts++
		if attempts < maxAttempts {
			return engineapi.PrefillResult{}, fault.New(fault.EndpointFailed, "cut")
		}
		time.Sleep(pause)
		if time.Now().After(c.Limits.ResponseDeadline) {
			return engineapi.PrefillResult{}, fault.New(fault.EndpointTimeout, "no answer to the prefill")
		}
		return engineapi.PrefillResult{PromptTokens: 3}, nil
	}
	p.Decode = func(_ context.Context, _ ident.Address, d engineapi.DecodeCall, onDelta func(engineapi.Delta) error) (engineapi.Finish, error) {
		time.Sleep(pause)
		if first := d.Limits.FirstByteDeadline; !first.IsZero() && time.Now().After(first) {
			return engineapi.Finish{}, fault.New(fault.EndpointTimeout, "no first token")
		}
		if err := onDelta(engineapi.Delta{IDs: []int{100}}); err != nil {
			return engineapi.Finish{}, err
		}
		if d.Limits.ReadTimeout > 0 && d.Limits.ReadTimeout < pause {
			return engineapi.Finish{}, fault.New(fault.EndpointTimeout, "no token in time")
		}
		err := onDelta(engineapi.Delta{IDs: []int{101}})
		return engineapi.Finish{Reason: "length", Tokens: 2}, err
	}
	s := openSession(t, p, "/m")
	got := 0
	_, err := s.Complete(CompletionRequest{Model: "m", Prompt: engineapi.TextPrompt("a b c"), MaxTokens: 2}, func(d engineapi.Delta) error { got += len(d.IDs); return nil })
	s.Close(err)
	if err != nil || got != 2 {
		t.Errorf("%d tokens, %v; want 2 tokens", got, err)
	}
}
