package request

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"monsoonfork/core/claims"
	"monsoonfork/core/config"
	"monsoonfork/core/endpoint"
	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/placement"
	"monsoonfork/core/text"
)

// testConfig returns a configuration with one model service and one plain service.
func testConfig() *text.Text {
	t := &text.Text{
		Models: []text.Model{{Name: "m", MinBytesPerToken: 1, MaxTokens: 1000}},
		Services: []text.Service{
			{Name: "models", Kind: text.ModelService, Models: []ident.ModelID{"m"}},
			{Name: "plain", Kind: text.PlainService, Endpoints: []text.Endpoint{{Name: "s1", Address: "s1"}, {Name: "s2", Address: "s2"}}},
		},
		Routes: []text.Route{
			{Name: "model", Path: "/m", Service: "models", Idempotent: true, TimeoutMS: 60_000, FirstTokenMS: 450},
			{Name: "book", Path: "/book", Service: "plain", TimeoutMS: 60_000, CostTokens: 10},
			{Name: "look", Path: "/look", Service: "plain", Idempotent: true, TimeoutMS: 60_000},
		},
		Keys: []text.Key{{Name: "k", Organisation: "org"}},
	}
	return t
}

// newSucceedingPipeline returns a Pipeline whose stages all succeed. Decode and Send are
// not set.
func newSucceedingPipeline() *Pipeline {
	holder := config.NewHolder()
	holder.Update(&config.Snapshot{Revision: 1, Text: testConfig()})
	p := New("d", log.NewNopLogger())
	p.CurrentConfig = holder.Current
	p.Verify = func(string) (VerifiedKey, error) {
		return VerifiedKey{Identity{"k", "org"}, func(func(error)) func() { return func() {} }}, nil
	}
	p.Admit = func(context.Context, ident.OrganisationID, ident.Tokens) (func(ident.Tokens), error) {
		return func(ident.Tokens) {}, nil
	}
	p.Place = func(_ context.Context, r placement.Request) (*PlacedAttempt, error) {
		return &PlacedAttempt{ID: string(r.LeaseID()), Prefill: text.Engine{Name: "p"}, Decode: text.Engine{Name: "d"}, PrefillDone: func() {}, Close: func(placement.Outcome) {}}, nil
	}
	p.Prefill = func(context.Context, ident.Address, engineapi.PrefillCall) (engineapi.PrefillResult, error) {
		return engineapi.PrefillResult{PromptTokens: 3}, nil
	}
	p.Abort = func(context.Context, ident.Address, string) (bool, error) { return true, nil }
	p.Claim = func(context.Context, claims.Call) (*ClaimTicket, error) {
		return &ClaimTicket{Complete: func(claims.Answer) {}, Release: func() {}, Abandon: func() {}}, nil
	}
	return p
}

// openSession opens a session for a request to a URL path.
func openSession(t *testing.T, p *Pipeline, path string) *Session {
	t.Helper()
	s, err := p.Open(context.Background(), RequestInfo{ID: ident.NewRequestID(), Method: "POST", Path: path, Token: "x", Received: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// expectedTokens returns the token ids of the correct answer with n tokens.
func expectedTokens(n int) []int {
	ids := make([]int, n)
	for i := range ids {
		ids[i] = 100 + i
	}
	return ids
}

// TestTokensDeliveredOnceAndInOrder checks that the caller receives a prefix of the
// correct answer, however many tokens each attempt delivers before it fails, and the
// complete answer if Complete returns no error.
func TestTokensDeliveredOnceAndInOrder(t *testing.T) {
	const length = 20
	properties := gopter.NewProperties(nil)
	properties.Property("tokens are delivered once and in order", prop.ForAll(func(failAfter []int, batchSize int) bool {
		before := invariant.Violations()
		p := newSucceedingPipeline()
		defer p.Close()
		attempts := 0
		p.Decode = func(_ context.Context, _ ident.Address, d engineapi.DecodeCall, onDelta func(engineapi.Delta) error) (engineapi.Finish, error) {
			rest := expectedTokens(length)[len(d.ContinueFrom):]
			delivered := len(rest)
			cutOff := attempts < len(failAfter)
			if cutOff {
				delivered = min(delivered, failAfter[attempts])
			}
			attempts++
			for i := 0; i < delivered; i += batchSize {
				if err := onDelta(engineapi.Delta{IDs: rest[i:min(i+batchSize, delivered)]}); err != nil {
					return engineapi.Finish{}, err
				}
			}
			if cutOff {
				return engineapi.Finish{}, fault.New(fault.AnswerBroken, "stream ended early")
			}
			return engineapi.Finish{Reason: "length", Tokens: ident.Tokens(len(rest))}, nil
		}
		s := openSession(t, p, "/m")
		var got []int
		finished, err := s.Complete(CompletionRequest{Model: "m", Prompt: engineapi.TextPrompt("a b c"), MaxTokens: length},
			func(d engineapi.Delta) error { got = append(got, d.IDs...); return nil })
		s.Close(err)
		for i, id := range got {
			if id != expectedTokens(length)[i] {
				return false
			}
		}
		complete := err == nil && len(got) == length && finished.CompletionTokens == length
		failed := err != nil && len(got) < length && attempts == maxAttempts
		return (complete || failed) && invariant.Violations() == before
	}, gen.SliceOfN(5, gen.IntRange(0, length)), gen.IntRange(1, 4)))
	properties.TestingRun(t)
}

// TestNotRunOnlyIfNothingSent checks that the error of a call says NotRun if and
// only if no endpoint received a byte of it, and that a call on a route that is not
// idempotent reaches at most one endpoint.
func TestNotRunOnlyIfNothingSent(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("error says NotRun if and only if nothing was sent", prop.ForAll(func(arrivals []bool, path string) bool {
		p := newSucceedingPipeline()
		defer p.Close()
		calls, reached := 0, 0
		p.Send = func(context.Context, ident.Address, endpoint.ServiceCall, endpoint.Sink) error {
			reaches := arrivals[calls%len(arrivals)]
			calls++
			if !reaches {
				return fault.New(fault.EndpointFailed, "refused").WithRan(fault.NotRun)
			}
			reached++
			return fault.New(fault.EndpointFailed, "no answer")
		}
		s := openSession(t, p, path)
		err := s.Forward(ServiceCall{Method: "POST", Target: path, IdempotencyKey: "i"}, endpoint.Sink{OnHead: func(endpoint.Head) error { return nil }})
		s.Close(err)
		saysNotRun := fault.From(err).Ran == fault.NotRun
		if path == "/book" && reached > 1 {
			return false
		}
		return saysNotRun == (reached == 0)
	}, gen.SliceOfN(2, gen.Bool()), gen.OneConstOf("/book", "/look")))
	properties.TestingRun(t)
}

// TestRetryBudgetBoundsRetries checks that the retries of any sequence of failing
// requests are at most the initial balance plus the fixed ratio of the requests.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("retries are bounded by burst and ratio", prop.ForAll(func(requests, retriesPerRequest int) bool {
		b := retryBudget{balance: retryBurst}
		retries := 0
		for range requests {
			b.deposit()
			for range retriesPerRequest {
				if b.withdraw() {
					retries++
				}
			}
		}
		return float64(retries) <= retryBurst+retryRatio*float64(requests)
	}, gen.IntRange(0, 3000), gen.IntRange(0, 3)))
	properties.TestingRun(t)
}

// TestCancelledRequestAbortsBothEngines checks that a request cancelled during decode
// is aborted at its prefill and its decode engine, and that its attempt is served
// until then and not afterwards.
func TestCancelledRequestAbortsBothEngines(t *testing.T) {
	p := newSucceedingPipeline()
	aborted := make(chan string, 4)
	p.Abort = func(_ context.Context, to ident.Address, attempt string) (bool, error) {
		aborted <- string(to) + " " + attempt
		return true, nil
	}
	p.Place = func(_ context.Context, r placement.Request) (*PlacedAttempt, error) {
		return &PlacedAttempt{ID: string(r.LeaseID()), Prefill: text.Engine{Name: "p", Address: "p"}, Decode: text.Engine{Name: "d", Address: "d"}, PrefillDone: func() {}, Close: func(o placement.Outcome) {
			if o.Result != placement.Cancelled {
				t.Errorf("outcome %v, want Cancelled", o.Result)
			}
		}}, nil
	}
	s := openSession(t, p, "/m")
	p.Decode = func(ctx context.Context, _ ident.Address, d engineapi.DecodeCall, _ func(engineapi.Delta) error) (engineapi.Finish, error) {
		if held := p.ServesAttempts([]string{d.Attempt, "other"}); !held[0] || held[1] {
			t.Errorf("served attempts %v while the attempt runs, want [true false]", held)
		}
		s.Cancel(fault.New(fault.CallerGone, "caller disconnected"))
		<-ctx.Done()
		return engineapi.Finish{}, fault.From(context.Cause(ctx))
	}
	_, err := s.Complete(CompletionRequest{Model: "m", Prompt: engineapi.TextPrompt("a"), MaxTokens: 5}, func(engineapi.Delta) error { return nil })
	s.Close(err)
	if f := fault.From(err); f.Kind != fault.CallerGone || f.Ran != fault.MayHaveRun {
		t.Errorf("error kind %v, ran %v; want CallerGone and MayHaveRun", f.Kind, f.Ran)
	}
	if err := p.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	p.Close()
	want := map[string]bool{"p " + string(s.ID) + ".1": true, "d " + string(s.ID) + ".1": true}
	for range 2 {
		if a := <-aborted; !want[a] {
			t.Errorf("unexpected abort %q", a)
		}
	}
	if held := p.ServesAttempts([]string{string(s.ID) + ".1"}); held[0] {
		t.Error("the aborted attempt is still reported as served")
	}
}

// TestAbortRepeatedForUnknownAttempt checks that an abort is repeated once if the
// engine has no such attempt: the call that starts it may arrive after the abort.
func TestAbortRepeatedForUnknownAttempt(t *testing.T) {
	p := newSucceedingPipeline()
	calls := 0
	p.Abort = func(context.Context, ident.Address, string) (bool, error) { calls++; return false, nil }
	p.abort(log.NewNopLogger(), text.Engine{}, "a.1")
	if err := p.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	p.Close()
	if calls != 2 {
		t.Errorf("%d abort calls, want 2", calls)
	}
}

// TestSettledTokens checks the tokens charged after a request succeeded or failed in
// different stages.
func TestSettledTokens(t *testing.T) {
	for name, tc := range map[string]struct {
		prefillErr error
		placeErr   error
		wantUsed   ident.Tokens
	}{
		"complete answer":          {nil, nil, 3 + 4},
		"placement refused":        {nil, fault.New(fault.Overloaded, "full"), 0},
		"prefill not sent":         {fault.New(fault.DeadlineExceeded, "late").WithRan(fault.NotRun), nil, 0},
		"prefill without answer":   {fault.New(fault.DeadlineExceeded, "late"), nil, 5},
		"key withdrawn in prefill": {fault.New(fault.KeyWithdrawn, "withdrawn"), nil, 5},
	} {
		t.Run(name, func(t *testing.T) {
			p := newSucceedingPipeline()
			defer p.Close()
			var charged, used ident.Tokens
			p.Admit = func(_ context.Context, _ ident.OrganisationID, cost ident.Tokens) (func(ident.Tokens), error) {
				charged = cost
				return func(u ident.Tokens) { used = u }, nil
			}
			p.Prefill = func(context.Context, ident.Address, engineapi.PrefillCall) (engineapi.PrefillResult, error) {
				return engineapi.PrefillResult{PromptTokens: 3}, tc.prefillErr
			}
			if tc.placeErr != nil {
				p.Place = func(context.Context, placement.Request) (*PlacedAttempt, error) { return nil, tc.placeErr }
			}
			p.Decode = func(_ context.Context, _ ident.Address, _ engineapi.DecodeCall, onDelta func(engineapi.Delta) error) (engineapi.Finish, error) {
				return engineapi.Finish{Reason: "stop"}, onDelta(engineapi.Delta{IDs: expectedTokens(4)})
			}
			s := openSession(t, p, "/m")
			_, err := s.Complete(CompletionRequest{Model: "m", Prompt: engineapi.TextPrompt("a b c"), MaxTokens: 10}, func(engineapi.Delta) error { return nil })
			s.Close(err)
			if charged != 15 || used != tc.wantUsed {
				t.Errorf("charged %d and settled %d tokens, want 15 and %d (error %v)", charged, used, tc.wantUsed, err)
			}
		})
	}
}

// TestKeyWithdrawnDuringOpen checks that a key withdrawn directly after its check,
// before the watch starts, ends the request before anything is sent.
func TestKeyWithdrawnDuringOpen(t *testing.T) {
	p := newSucceedingPipeline()
	defer p.Close()
	stopped := false
	p.Verify = func(string) (VerifiedKey, error) {
		return VerifiedKey{Identity{"k", "org"}, func(end func(error)) func() {
			end(fault.New(fault.KeyWithdrawn, "withdrawn"))
			return func() { stopped = true }
		}}, nil
	}
	p.Place = func(ctx context.Context, _ placement.Request) (*PlacedAttempt, error) {
		return nil, fault.From(context.Cause(ctx))
	}
	s := openSession(t, p, "/m")
	_, err := s.Complete(CompletionRequest{Model: "m", Prompt: engineapi.TextPrompt("a"), MaxTokens: 1}, nil)
	s.Close(err)
	if f := fault.From(err); f.Kind != fault.KeyWithdrawn || f.Ran != fault.NotRun {
		t.Errorf("error kind %v, ran %v; want KeyWithdrawn and NotRun", f.Kind, f.Ran)
	}
	if n := p.sessions.count(); n != 0 || !stopped {
		t.Errorf("%d open sessions, watch stopped %v; want 0 and true", n, stopped)
	}
}

// TestErrorReportsCancellationCause checks that a stage's plain context error is
// replaced by the cause of the cancellation.
func TestErrorReportsCancellationCause(t *testing.T) {
	p := newSucceedingPipeline()
	defer p.Close()
	s := openSession(t, p, "/m")
	p.Admit = func(ctx context.Context, _ ident.OrganisationID, _ ident.Tokens) (func(ident.Tokens), error) {
		s.Cancel(fault.New(fault.KeyWithdrawn, "withdrawn"))
		<-ctx.Done()
		return nil, fault.From(ctx.Err())
	}
	_, err := s.Complete(CompletionRequest{Model: "m", Prompt: engineapi.TextPrompt("a"), MaxTokens: 1}, nil)
	s.Close(err)
	if f := fault.From(err); f.Kind != fault.KeyWithdrawn || f.Ran != fault.NotRun {
		t.Errorf("error kind %v, ran %v; want KeyWithdrawn and NotRun", f.Kind, f.Ran)
	}
}
