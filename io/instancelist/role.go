package instancelist

import (
	"context"

	"monsoonfork/core/kernel"
	"monsoonfork/core/membership"
	"monsoonfork/core/settings"
)

func init() {
	kernel.Register(kernel.Role{
		Name:        "InstanceList",
		Summary:     "reads the platform's list of instances for Membership",
		Deployments: settings.Deployments{settings.OwnText, settings.Platform},
		Start:       start,
	})
}

// start starts the role. It provides a membership.InstanceList, which is nil if the settings
// have no address.
func start(_ context.Context, n *kernel.Node) (*kernel.Callbacks, error) {
	var list membership.InstanceList
	if address := n.Settings.InstanceListAddress; address != "" {
		list = New(address).LiveAddresses
	}
	kernel.Provide(n, list)
	return &kernel.Callbacks{}, nil
}
