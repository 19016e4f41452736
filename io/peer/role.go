package peer

import (
	"context"
	"net"

	"monsoonfork/core/kernel"
	"monsoonfork/core/settings"
)

func init() {
	kernel.Register(kernel.Role{
		Name:        "Links",
		Summary:     "provides the calls between instances to the other roles",
		Deployments: settings.Deployments{settings.OwnText, settings.Platform},
		Start:       startRole,
	})
}

// startRole starts the role. It provides the links to other instances, for roles and as a
// whole.
func startRole(_ context.Context, n *kernel.Node) (*kernel.Callbacks, error) {
	links, err := listenLinks(n)
	if err != nil {
		return nil, err
	}
	kernel.Provide(n, links)
	kernel.Provide(n, links.RoleLinks())
	return &kernel.Callbacks{Close: links.Close}, nil
}

// listenLinks creates the links of a node and listens for other instances.
func listenLinks(n *kernel.Node) (*Links, error) {
	opts := []Option{WithMetrics(n.Metrics)}
	if n.Settings.TLS.Enabled() {
		cfg, err := LoadTLS(n.Settings.TLS)
		if err != nil {
			return nil, err
		}
		opts = append(opts, WithTLS(cfg))
	}
	if host, _, err := net.SplitHostPort(string(n.Settings.PeerListener())); err == nil {
		if ip := net.ParseIP(host); ip != nil && !ip.IsUnspecified() {
			opts = append(opts, WithLocalIP(ip))
		}
	}
	links := New(n.ID, n.Settings.Domain, n.Log, opts...)
	if _, err := links.Listen(n.Settings.PeerListener()); err != nil {
		return nil, err
	}
	return links, nil
}
