// Package kernel starts, drains, stops and dumps the roles of a daemon. Roles
// are plug-ins that register themselves.
package kernel

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"sync"
	"time"

	"monsoonfork/core/settings"
)

// Role is a part of the daemon. A package registers its role from init.
type Role struct {
	Name    string
	Summary string               // One line for help.
	After   []string             // Names of roles that must be started before.
	On      settings.Deployments // Where the role runs; none means OwnText.
	Start   func(ctx context.Context, n *Node) (*Running, error)
}

// Running is a started role. Any field may be nil.
type Running struct {
	Leave  func(by time.Time)              // A planned stop begins, which ends by a time, if that is not zero: others should turn elsewhere.
	Drain  func(ctx context.Context) error // Finishes work under way; no new work comes.
	Close  func() error                    // Stops and waits.
	Dump   func() any                      // State for operators, as JSON.
	Ready  func() error                    // Why the instance is not ready, or nil.
	Reload func(*settings.Settings)        // New settings: what may change while the daemon runs.
}

var (
	registryMu sync.Mutex
	registry   = make(map[string]Role)
)

// Register adds a role to the table. It panics on a name that is taken.
func Register(r Role) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, taken := registry[r.Name]; taken {
		panic(fmt.Sprintf("kernel: role %q registered twice", r.Name))
	}
	registry[r.Name] = r
}

// Roles returns the roles of a deployment in the order in which they start: each
// after those that it names, otherwise by name.
func Roles(d settings.Deployment) ([]Role, error) {
	registryMu.Lock()
	defer registryMu.Unlock()
	names := make([]string, 0, len(registry))
	for name, r := range registry {
		if r.runsOn(d) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var ordered []Role
	state := make(map[string]visit)
	for _, name := range names {
		if err := appendRole(name, state, &ordered); err != nil {
			return nil, err
		}
	}
	return ordered, nil
}

// runsOn reports whether the role belongs to a deployment.
func (r Role) runsOn(d settings.Deployment) bool {
	if d == "" {
		d = settings.OwnText
	}
	if len(r.On) == 0 {
		return d == settings.OwnText
	}
	return slices.Contains(r.On, d)
}

// visit is the progress of the ordering for one role.
type visit int

const (
	unvisited visit = iota
	inProgress
	done
)

// appendRole appends the roles that name depends on, then name.
func appendRole(name string, state map[string]visit, ordered *[]Role) error {
	switch state[name] {
	case unvisited:
	case done:
		return nil
	case inProgress:
		return fmt.Errorf("kernel: role %q depends on itself", name)
	}
	r, ok := registry[name]
	if !ok {
		return fmt.Errorf("kernel: role %q is needed but not registered", name)
	}
	state[name] = inProgress
	for _, before := range r.After {
		if err := appendRole(before, state, ordered); err != nil {
			return err
		}
	}
	state[name] = done
	*ordered = append(*ordered, r)
	return nil
}
