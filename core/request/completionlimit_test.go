package request

import (
	"context"
	"math"
	"testing"

	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/placement"
)

// TestLargestMaxTokensIsTooLarge guards against a max_tokens whose sum with the prompt's
// tokens overflows, so that a request above the model's limit is admitted and placed.
func TestLargestMaxTokensIsTooLarge(t *testing.T) {
	p := newSucceedingPipeline()
	defer p.Close()
	admitted, placed := 0, 0
	p.Admit = func(context.Context, ident.OrganisationID, ident.Tokens) (func(ident.Tokens), error) {
		admitted++
		return func(ident.Tokens) {}, nil
	}
	p.Place = func(context.Context, placement.Request) (*PlacedAttempt, error) {
		placed++
		return nil, fault.New(fault.NoEndpoint, "the request was placed")
	}
	for _, maxTokens := range []ident.Tokens{1001, math.MaxInt64 - 1, math.MaxInt64} {
		s := openSession(t, p, "/m")
		_, err := s.Complete(CompletionRequest{Model: "m", Prompt: engineapi.TextPrompt("a b c"), MaxTokens: maxTokens}, func(engineapi.Delta) error { return nil })
		s.Close(err)
		if !fault.Is(err, fault.RequestTooLarge) {
			t.Errorf("max_tokens %d: %v, want RequestTooLarge", maxTokens, err)
		}
	}
	if admitted+placed != 0 {
		t.Errorf("%d requests were admitted and %d placed", admitted, placed)
	}
}
