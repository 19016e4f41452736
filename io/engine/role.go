package engine

import (
	"context"

	"monsoonfork/core/kernel"
	"monsoonfork/io/httpcall"
)

func init() {
	kernel.Register(kernel.Role{
		Name:    "Engines",
		Summary: "provides the HTTP clients for model engines and plain services to the other roles",
		Start:   startRole,
	})
}

// startRole starts the role. It provides the HTTP client that all calls to endpoints
// share, the client for engines and its calls besides completions.
func startRole(_ context.Context, n *kernel.Node) (*kernel.Callbacks, error) {
	calls, err := httpcall.New(httpcall.WithMetrics(n.Metrics), httpcall.WithLog(n.Log))
	if err != nil {
		return nil, err
	}
	kernel.Provide(n, calls)
	client := New(calls, n.ID, WithMetrics(n.Metrics))
	kernel.Provide(n, client)
	kernel.Provide(n, client.Calls())
	return &kernel.Callbacks{Close: func() error { calls.Close(); return nil }}, nil
}
