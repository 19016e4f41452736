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
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/placement"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
	"monsoonfork/io/httpcall"
	"monsoonfork/io/service"
)

// testText is a text with one model and one plain service.
func testText() *text.Text {
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

// newTestPath returns a path whose stages all succeed.
func newTestPath() *Path {
	holder := config.NewHolder()
	holder.Offer(&config.Snapshot{Revision: 1, Text: testText()})
	p := New("d", log.NewNopLogger())
	p.Current = holder.Current
	p.Verify = func(string) (Verified, error) {
		return Verified{Identity{"k", "org"}, func(func(error)) func() { return func() {} }}, nil
	}
	p.Admit = func(context.Context, ident.OrganisationID, ident.Tokens) (func(ident.Tokens), error) {
		return func(ident.Tokens) {}, nil
	}
	p.Place = func(_ context.Context, r placement.Request) (*Placed, error) {
		return &Placed{ID: string(r.LeaseID()), Prefill: text.Engine{Name: "p"}, Decode: text.Engine{Name: "d"}, PrefillDone: func() {}, Close: func(placement.Outcome) {}}, nil
	}
	p.Prefill = func(context.Context, ident.Address, engine.PrefillCall) (engine.Prefilled, error) {
		return engine.Prefilled{PromptTokens: 3}, nil
	}
	p.Abort = func(context.Context, ident.Address, string) (bool, error) { return true, nil }
	p.Claim = func(context.Context, claims.Call) (*Ticket, error) {
		return &Ticket{Complete: func(claims.Answer) {}, Release: func() {}, Abandon: func() {}}, nil
	}
	return p
}

// open opens a session on a route.
func open(t *testing.T, p *Path, path string) *Session {
	t.Helper()
	s, err := p.Open(context.Background(), Incoming{ID: ident.NewRequestID(), Method: "POST", Path: path, Token: "x", Received: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// answerOf returns the tokens of the right answer.
func answerOf(n int) []int {
	ids := make([]int, n)
	for i := range ids {
		ids[i] = 100 + i
	}
	return ids
}

// TestTokensOnceInOrder: whatever the attempts deliver before they fail, the
// caller gets a prefix of the right answer, and all of it if there is no error.
func TestTokensOnceInOrder(t *testing.T) {
	const length = 20
	properties := gopter.NewProperties(nil)
	properties.Property("tokens come once and in order", prop.ForAll(func(cuts []int, piece int) bool {
		before := invariant.Violations()
		p := newTestPath()
		defer p.Close()
		number := 0
		p.Decode = func(_ context.Context, _ ident.Address, d engine.DecodeCall, onDelta func(engine.Delta) error) (engine.Finish, error) {
			rest := answerOf(length)[len(d.ContinueFrom):]
			cut := len(rest)
			fails := number < len(cuts)
			if fails {
				cut = min(cut, cuts[number])
			}
			number++
			for i := 0; i < cut; i += piece {
				if err := onDelta(engine.Delta{IDs: rest[i:min(i+piece, cut)]}); err != nil {
					return engine.Finish{}, err
				}
			}
			if fails {
				return engine.Finish{}, fault.New(fault.AnswerBroken, "cut")
			}
			return engine.Finish{Reason: "length", Tokens: ident.Tokens(len(rest))}, nil
		}
		s := open(t, p, "/m")
		var got []int
		finished, err := s.Complete(Completion{Model: "m", Prompt: engine.TextPrompt("a b c"), MaxTokens: length},
			func(d engine.Delta) error { got = append(got, d.IDs...); return nil })
		s.Close(err)
		for i, id := range got {
			if id != answerOf(length)[i] {
				return false
			}
		}
		whole := err == nil && len(got) == length && finished.CompletionTokens == length
		broken := err != nil && len(got) < length && number == maxAttempts
		return (whole || broken) && invariant.Violations() == before
	}, gen.SliceOfN(5, gen.IntRange(0, length)), gen.IntRange(1, 4)))
	properties.TestingRun(t)
}

// TestNotRunIsTrue: an error says "not run" exactly when no endpoint can have a
// byte of the call.
func TestNotRunIsTrue(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("not run is true", prop.ForAll(func(sent []bool, path string) bool {
		p := newTestPath()
		defer p.Close()
		calls, reached := 0, 0
		p.Send = func(context.Context, ident.Address, service.Call, httpcall.Sink) error {
			arrives := sent[calls%len(sent)]
			calls++
			if !arrives {
				return fault.New(fault.EndpointFailed, "refused").WithRan(fault.NotRun)
			}
			reached++
			return fault.New(fault.EndpointFailed, "no answer")
		}
		s := open(t, p, path)
		err := s.Forward(PlainCall{Method: "POST", Target: path, IdempotencyKey: "i"}, httpcall.Sink{OnHead: func(httpcall.Head) error { return nil }})
		s.Close(err)
		saysNotRun := fault.From(err).Ran == fault.NotRun
		if path == "/book" && reached > 1 {
			return false
		}
		return saysNotRun == (reached == 0)
	}, gen.SliceOfN(2, gen.Bool()), gen.OneConstOf("/book", "/look")))
	properties.TestingRun(t)
}

// TestRetryBudget: over any run of requests that all fail, retries are at most
// the saved ones and the fixed part.
func TestRetryBudget(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("retries are a fixed part", prop.ForAll(func(requests, tries int) bool {
		b := retryBudget{left: retryBurst}
		spent := 0
		for range requests {
			b.earn()
			for range tries {
				if b.spend() {
					spent++
				}
			}
		}
		return float64(spent) <= retryBurst+retryShare*float64(requests)
	}, gen.IntRange(0, 3000), gen.IntRange(0, 3)))
	properties.TestingRun(t)
}

func TestAbortsOfAnAbandonedAttempt(t *testing.T) {
	p := newTestPath()
	aborted := make(chan string, 4)
	p.Abort = func(_ context.Context, to ident.Address, attempt string) (bool, error) {
		aborted <- string(to) + " " + attempt
		return true, nil
	}
	p.Place = func(_ context.Context, r placement.Request) (*Placed, error) {
		return &Placed{ID: string(r.LeaseID()), Prefill: text.Engine{Name: "p", Address: "p"}, Decode: text.Engine{Name: "d", Address: "d"}, PrefillDone: func() {}, Close: func(o placement.Outcome) {
			if o.Result != placement.Cancelled {
				t.Errorf("outcome %v, want Cancelled", o.Result)
			}
		}}, nil
	}
	s := open(t, p, "/m")
	p.Decode = func(ctx context.Context, _ ident.Address, d engine.DecodeCall, _ func(engine.Delta) error) (engine.Finish, error) {
		if held := p.Holds([]string{d.Attempt, "other"}); !held[0] || held[1] {
			t.Errorf("holds %v while the attempt runs", held)
		}
		s.Cancel(fault.New(fault.CallerGone, "left"))
		<-ctx.Done()
		return engine.Finish{}, fault.From(context.Cause(ctx))
	}
	_, err := s.Complete(Completion{Model: "m", Prompt: engine.TextPrompt("a"), MaxTokens: 5}, func(engine.Delta) error { return nil })
	s.Close(err)
	if f := fault.From(err); f.Kind != fault.CallerGone || f.Ran != fault.MayHaveRun {
		t.Errorf("got %v %v", f.Kind, f.Ran)
	}
	if err := p.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	p.Close()
	want := map[string]bool{"p " + string(s.ID) + ".1": true, "d " + string(s.ID) + ".1": true}
	for range 2 {
		if a := <-aborted; !want[a] {
			t.Errorf("aborted %q", a)
		}
	}
	if held := p.Holds([]string{string(s.ID) + ".1"}); held[0] {
		t.Error("an abandoned attempt is still held")
	}
}

// TestUnknownAttemptIsAbortedAgain: the call may have been on its way.
func TestUnknownAttemptIsAbortedAgain(t *testing.T) {
	p := newTestPath()
	calls := 0
	p.Abort = func(context.Context, ident.Address, string) (bool, error) { calls++; return false, nil }
	p.abort(log.NewNopLogger(), text.Engine{}, "a.1")
	if err := p.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	p.Close()
	if calls != 2 {
		t.Errorf("%d aborts, want 2", calls)
	}
}

func TestSettlement(t *testing.T) {
	for name, tc := range map[string]struct {
		prefill error
		place   error
		used    ident.Tokens
	}{
		"whole":                {nil, nil, 3 + 4},
		"no engine":            {nil, fault.New(fault.Overloaded, "full"), 0},
		"refused by prefill":   {fault.New(fault.DeadlineExceeded, "late").WithRan(fault.NotRun), nil, 0},
		"lost in prefill":      {fault.New(fault.DeadlineExceeded, "late"), nil, 5},
		"organisation cut off": {fault.New(fault.KeyWithdrawn, "cut"), nil, 5},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestPath()
			defer p.Close()
			var charged, used ident.Tokens
			p.Admit = func(_ context.Context, _ ident.OrganisationID, cost ident.Tokens) (func(ident.Tokens), error) {
				charged = cost
				return func(u ident.Tokens) { used = u }, nil
			}
			p.Prefill = func(context.Context, ident.Address, engine.PrefillCall) (engine.Prefilled, error) {
				return engine.Prefilled{PromptTokens: 3}, tc.prefill
			}
			if tc.place != nil {
				p.Place = func(context.Context, placement.Request) (*Placed, error) { return nil, tc.place }
			}
			p.Decode = func(_ context.Context, _ ident.Address, _ engine.DecodeCall, onDelta func(engine.Delta) error) (engine.Finish, error) {
				return engine.Finish{Reason: "stop"}, onDelta(engine.Delta{IDs: answerOf(4)})
			}
			s := open(t, p, "/m")
			_, err := s.Complete(Completion{Model: "m", Prompt: engine.TextPrompt("a b c"), MaxTokens: 10}, func(engine.Delta) error { return nil })
			s.Close(err)
			if charged != 15 || used != tc.used {
				t.Errorf("charged %d, used %d, want 15 and %d (%v)", charged, used, tc.used, err)
			}
		})
	}
}

// TestKeyWithdrawnWhileOpening: a key that is withdrawn right after its check
// ends the request before anything is sent.
func TestKeyWithdrawnWhileOpening(t *testing.T) {
	p := newTestPath()
	defer p.Close()
	stopped := false
	p.Verify = func(string) (Verified, error) {
		return Verified{Identity{"k", "org"}, func(end func(error)) func() {
			end(fault.New(fault.KeyWithdrawn, "withdrawn"))
			return func() { stopped = true }
		}}, nil
	}
	p.Place = func(ctx context.Context, _ placement.Request) (*Placed, error) {
		return nil, fault.From(context.Cause(ctx))
	}
	s := open(t, p, "/m")
	_, err := s.Complete(Completion{Model: "m", Prompt: engine.TextPrompt("a"), MaxTokens: 1}, nil)
	s.Close(err)
	if f := fault.From(err); f.Kind != fault.KeyWithdrawn || f.Ran != fault.NotRun {
		t.Errorf("got %v %v", f.Kind, f.Ran)
	}
	if n := p.running.count(); n != 0 || !stopped {
		t.Errorf("%d requests are open, watch stopped: %v", n, stopped)
	}
}

func TestCauseOfTheEnd(t *testing.T) {
	p := newTestPath()
	defer p.Close()
	s := open(t, p, "/m")
	p.Admit = func(ctx context.Context, _ ident.OrganisationID, _ ident.Tokens) (func(ident.Tokens), error) {
		s.Cancel(fault.New(fault.KeyWithdrawn, "withdrawn"))
		<-ctx.Done()
		return nil, fault.From(ctx.Err())
	}
	_, err := s.Complete(Completion{Model: "m", Prompt: engine.TextPrompt("a"), MaxTokens: 1}, nil)
	s.Close(err)
	if f := fault.From(err); f.Kind != fault.KeyWithdrawn || f.Ran != fault.NotRun {
		t.Errorf("got %v %v", f.Kind, f.Ran)
	}
}
