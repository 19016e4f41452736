package keys

import (
	"context"

	"monsoonfork/core/config"
	"monsoonfork/core/config/relay"
	"monsoonfork/core/kernel"
)

func init() {
	kernel.Register(kernel.Role{
		Name:      "Keys",
		Summary:   "verifies callers' keys and ends the requests of withdrawn keys",
		DependsOn: []string{"Membership", "Config"},
		Start:     startRole,
	})
}

// startRole creates the verifier of the role.
func startRole(_ context.Context, n *kernel.Node) (*kernel.Callbacks, error) {
	var (
		holder  *config.Holder
		service *relay.Service
	)
	if err := n.Require(&holder, &service); err != nil {
		return nil, err
	}
	t := NewVerifier(holder, WithNow(n.Now), WithMetrics(n.Metrics), WithConfirmed(service.LastConfirmed))
	kernel.Provide(n, t)
	return &kernel.Callbacks{Close: t.Close, Dump: func() any { return t.WatchCounts() }}, nil
}
