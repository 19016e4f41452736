package claims

import (
	"context"
	"time"

	"monsoonfork/core/config"
	"monsoonfork/core/kernel"
	"monsoonfork/core/keyvalue"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
)

func init() {
	kernel.Register(kernel.Role{
		Name:      "Claims",
		Summary:   "lets a call that may not be repeated run at most once",
		DependsOn: []string{"Membership", "Config"},
		Start:     start,
	})
}

// start starts the role.
func start(_ context.Context, n *kernel.Node) (*kernel.Callbacks, error) {
	var (
		links  *link.Links
		table  *membership.Table
		holder *config.Holder
		client *keyvalue.Client
	)
	if err := n.Require(&links, &table, &holder, &client); err != nil {
		return nil, err
	}
	s := newService(options{
		self:      n.ID,
		logger:    n.Log,
		now:       n.Now,
		view:      table.View,
		links:     links,
		store:     storeFromClient(client),
		retention: func() time.Duration { return configuredRetention(holder) },
		registry:  n.Metrics,
	})
	kernel.Provide(n, s)
	return &kernel.Callbacks{Close: s.Close, Dump: s.dump}, nil
}

// storeFromClient returns the Store that calls c.
func storeFromClient(c *keyvalue.Client) Store {
	return Store{Get: c.Get, List: c.List, CompareAndSwap: c.CompareAndSwap, Delete: c.Delete}
}

// configuredRetention returns how long claims are kept, according to the current
// configuration.
func configuredRetention(h *config.Holder) time.Duration {
	snapshot := h.Current()
	if snapshot == nil || snapshot.Text == nil || snapshot.Text.Policy.ClaimRetentionSeconds <= 0 {
		return defaultRetention
	}
	return time.Duration(snapshot.Text.Policy.ClaimRetentionSeconds) * time.Second
}

// serviceDump is the state of the role, for operators.
type serviceDump struct {
	Granted, Replayed, Refused, StoreFailed int64
}

// dump returns the current counts.
func (s *Service) dump() any {
	return serviceDump{
		Granted:     s.metrics.granted.Count(),
		Replayed:    s.metrics.replayed.Count(),
		Refused:     s.metrics.refused.Count(),
		StoreFailed: s.metrics.failed.Count(),
	}
}
