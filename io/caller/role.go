package caller

import (
	"context"

	"monsoonfork/core/budget"
	"monsoonfork/core/claims"
	"monsoonfork/core/config"
	"monsoonfork/core/ident"
	"monsoonfork/core/kernel"
	"monsoonfork/core/keys"
	"monsoonfork/core/placement"
	"monsoonfork/core/request"
	"monsoonfork/io/engine"
	"monsoonfork/io/httpcall"
	"monsoonfork/io/service"
)

func init() {
	kernel.Register(kernel.Role{
		Name:      "Caller",
		Summary:   "serves the HTTP requests of callers",
		DependsOn: []string{"Membership", "Config", "Keys", "Budget", "Claims", "Placement", "Engines"},
		Start:     start,
	})
}

// start builds the request pipeline and starts the server.
func start(_ context.Context, n *kernel.Node) (*kernel.Callbacks, error) {
	pipeline, err := newPipeline(n)
	if err != nil {
		return nil, err
	}
	s := New(pipeline, n.Log, WithMetrics(n.Metrics), WithMemory(n.Memory))
	if _, err := s.Listen(n.Settings.CallerAddress); err != nil {
		pipeline.Close()
		return nil, err
	}
	kernel.Provide(n, pipeline)
	return &kernel.Callbacks{
		Drain: func(ctx context.Context) error {
			if err := s.Drain(ctx); err != nil {
				return err
			}
			return pipeline.Drain(ctx)
		},
		Close: func() error {
			err := s.Close()
			pipeline.Close()
			return err
		},
		Dump: func() any { return s.Dump() },
	}, nil
}

// newPipeline returns the request pipeline with its dependencies provided by the other roles.
func newPipeline(n *kernel.Node) (*request.Pipeline, error) {
	pipeline := request.New(n.Settings.Domain, n.Log, request.WithMetrics(n.Metrics), request.WithClock(n.Now))
	for _, wire := range []func(*kernel.Node, *request.Pipeline) error{wireConfig, wireBudget, wireClaims, wirePlacement, wireEndpoints} {
		if err := wire(n, pipeline); err != nil {
			return nil, err
		}
	}
	return pipeline, nil
}

// wireConfig connects the request pipeline to the configuration and the API keys.
func wireConfig(n *kernel.Node, pipeline *request.Pipeline) error {
	var (
		holder   *config.Holder
		verifier *keys.Verifier
	)
	if err := n.Require(&holder, &verifier); err != nil {
		return err
	}
	pipeline.CurrentConfig = holder.Current
	pipeline.Verify = verifyFunc(verifier)
	return nil
}

// verifyFunc returns a function that authenticates the token of a request with verifier.
func verifyFunc(verifier *keys.Verifier) func(token string) (request.VerifiedKey, error) {
	return func(token string) (request.VerifiedKey, error) {
		grant, err := verifier.Verify(token)
		if err != nil {
			return request.VerifiedKey{}, err
		}
		return request.VerifiedKey{
			Identity:     request.Identity{Key: grant.Key, Organisation: grant.Organisation},
			OnWithdrawal: func(end func(error)) func() { return verifier.Watch(grant, end) },
		}, nil
	}
}

// wireBudget connects the request pipeline to the token budget.
func wireBudget(n *kernel.Node, pipeline *request.Pipeline) error {
	var b *budget.Budget
	if err := n.Require(&b); err != nil {
		return err
	}
	pipeline.Admit = func(ctx context.Context, org ident.OrganisationID, cost ident.Tokens) (func(ident.Tokens), error) {
		grant, err := b.Admit(ctx, org, cost)
		if err != nil {
			return nil, err
		}
		return grant.Settle, nil
	}
	return nil
}

// wireClaims connects the request pipeline to the claims of idempotency keys.
func wireClaims(n *kernel.Node, pipeline *request.Pipeline) error {
	var c *claims.Service
	if err := n.Require(&c); err != nil {
		return err
	}
	pipeline.Claim = func(ctx context.Context, call claims.Call) (*request.ClaimTicket, error) {
		t, err := c.Claim(ctx, call)
		if err != nil {
			return nil, err
		}
		return &request.ClaimTicket{Replay: t.Replay, Complete: t.Complete, Release: t.Release, Abandon: t.Abandon}, nil
	}
	return nil
}

// wirePlacement connects the request pipeline to the placement of requests on engines.
func wirePlacement(n *kernel.Node, pipeline *request.Pipeline) error {
	var p *placement.Placement
	if err := n.Require(&p); err != nil {
		return err
	}
	pipeline.Place = func(ctx context.Context, r placement.Request) (*request.PlacedAttempt, error) {
		lease, err := p.Place(ctx, r)
		if err != nil {
			return nil, err
		}
		return &request.PlacedAttempt{
			ID:          string(lease.ID),
			Prefill:     lease.Prefill,
			Decode:      lease.Decode,
			PrefillDone: lease.PrefillDone,
			Close:       lease.Close,
		}, nil
	}
	return nil
}

// wireEndpoints connects the request pipeline to engines and plain services.
func wireEndpoints(n *kernel.Node, pipeline *request.Pipeline) error {
	var (
		engines *engine.Client
		calls   *httpcall.Client
	)
	if err := n.Require(&engines, &calls); err != nil {
		return err
	}
	pipeline.Prefill, pipeline.Decode, pipeline.Abort = engines.Prefill, engines.Decode, engines.Abort
	pipeline.Send = service.New(calls).Do
	return nil
}
