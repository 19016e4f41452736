package request

import (
	"context"
	"testing"

	"monsoonfork/core/claims"
	"monsoonfork/core/contain"
	"monsoonfork/core/endpoint"
	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/placement"
)

// TestPanicInAttemptHoldsNothing guards against a panic in the work on an engine's answer
// after which the engines' places, the attempt and the tokens of the request are held for good.
func TestPanicInAttemptHoldsNothing(t *testing.T) {
	p := newSucceedingPipeline()
	defer p.Close()
	closed, settled := 0, ident.Tokens(-1)
	place := p.Place
	p.Place = func(ctx context.Context, r placement.Request) (*PlacedAttempt, error) {
		placed, err := place(ctx, r)
		placed.Close = func(placement.Outcome) { closed++ }
		return placed, err
	}
	p.Admit = func(context.Context, ident.OrganisationID, ident.Tokens) (func(ident.Tokens), error) {
		return func(used ident.Tokens) { settled = used }, nil
	}
	aborted := make(chan struct{}, 2)
	p.Abort = func(context.Context, ident.Address, string) (bool, error) { aborted <- struct{}{}; return true, nil }
	p.Decode = func(context.Context, ident.Address, engineapi.DecodeCall, func(engineapi.Delta) error) (engineapi.Finish, error) {
		panic("odd event")
	}
	s := openSession(t, p, "/m")
	if contain.Call(func() {
		_, _ = s.Complete(CompletionRequest{Model: "m", Prompt: engineapi.TextPrompt("a b c"), MaxTokens: 2}, func(engineapi.Delta) error { return nil })
	}) == nil {
		t.Error("no panic")
	}
	s.Close(fault.New(fault.Internal, "panic"))
	if closed != 1 || settled != 3 || p.attempts.count() != 0 {
		t.Errorf("placement closed %d times, %d tokens settled, %d attempts left; want 1, 3 and none", closed, settled, p.attempts.count())
	}
	p.Close()
	if len(aborted) != 2 {
		t.Errorf("aborted at %d engines, want both", len(aborted))
	}
}

// TestPanicInCallIsNotCountedAsNotRun guards against a call that panics after it was sent: it
// must not end the process, nor give its tokens or its Idempotency-Key back.
func TestPanicInCallIsNotCountedAsNotRun(t *testing.T) {
	for _, path := range []string{"/look", "/book"} {
		p := newSucceedingPipeline()
		abandoned, settled := 0, ident.Tokens(-1)
		p.Claim = func(context.Context, claims.Call) (*ClaimTicket, error) {
			return &ClaimTicket{Complete: func(claims.Answer) {}, Release: func() {}, Abandon: func() { abandoned++ }}, nil
		}
		p.Admit = func(context.Context, ident.OrganisationID, ident.Tokens) (func(ident.Tokens), error) {
			return func(used ident.Tokens) { settled = used }, nil
		}
		p.Send = func(context.Context, ident.Address, endpoint.ServiceCall, endpoint.Sink) error { panic("odd answer") }
		s := openSession(t, p, path)
		var err error
		panicked := contain.Call(func() {
			err = s.Forward(ServiceCall{Method: "POST", IdempotencyKey: "key"}, endpoint.Sink{OnHead: func(endpoint.Head) error { return nil }})
		})
		if panicked == nil && (!fault.Is(err, fault.Internal) || fault.From(err).Ran == fault.NotRun) {
			t.Errorf("%s: error %v, want an internal one that may have run", path, err)
		}
		s.Close(fault.New(fault.Internal, "panic"))
		p.Close()
		once := path == "/book"
		if want := map[bool]ident.Tokens{true: 10}[once]; once && (settled != want || abandoned != 1) || !s.sent.Load() {
			t.Errorf("%s: settled %d tokens, abandoned %d times, sent %v; want %d, once and sent", path, settled, abandoned, s.sent.Load(), want)
		}
	}
}
