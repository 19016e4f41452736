// Package kernel starts, drains, stops and dumps the roles of a daemon. A role is a
// component of the daemon that registers itself and is started in dependency order.
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

// Role is a component of the daemon. Packages register their roles from init.
type Role struct {
	Name        string
	Summary     string               // One line for the help text.
	DependsOn   []string             // Names of the roles that must be started before this one.
	Deployments settings.Deployments // Deployments in which the role runs; none means OwnText.
	Start       func(ctx context.Context, n *Node) (*Callbacks, error)
}

// Callbacks holds the callbacks of a started role. Any of them may be nil.
type Callbacks struct {
	// AnnounceStop is called when a planned stop begins: the role asks its peers to send
	// no more work here. by is the deadline of the stop; zero if it has none.
	AnnounceStop func(by time.Time)
	Drain        func(ctx context.Context) error // Waits for running work to finish; no new work arrives.
	Close        func() error                    // Stops the role and waits until it has ended.
	Dump         func() any                      // Returns the state for operators, to be encoded as JSON.
	Ready        func() error                    // Returns an error while the role is not ready for callers.
	Reload       func(*settings.Settings)        // Applies those of the new settings that may change while the daemon runs.
}

var (
	registryMu sync.Mutex
	registry   = make(map[string]Role)
)

// Register adds a role to the registry. It panics if the name is already registered.
func Register(r Role) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if _, taken := registry[r.Name]; taken {
		panic(fmt.Sprintf("kernel: role %q registered twice", r.Name))
	}
	registry[r.Name] = r
}

// Roles returns the roles of a deployment in their start order: topologically sorted by
// DependsOn, otherwise by name. A missing or cyclic dependency is an error.
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
	state := make(map[string]visitState)
	for _, name := range names {
		if err := appendRole(name, state, &ordered); err != nil {
			return nil, err
		}
	}
	return ordered, nil
}

// runsOn reports whether the role runs in a deployment. The empty deployment is OwnText.
func (r Role) runsOn(d settings.Deployment) bool {
	if d == "" {
		d = settings.OwnText
	}
	if len(r.Deployments) == 0 {
		return d == settings.OwnText
	}
	return slices.Contains(r.Deployments, d)
}

// visitState is the state of a role in the depth-first search that orders the roles.
type visitState int

const (
	unvisited visitState = iota
	visiting
	visited
)

// appendRole appends the roles that the named role depends on, then the role itself,
// unless it has been appended before.
func appendRole(name string, state map[string]visitState, ordered *[]Role) error {
	switch state[name] {
	case unvisited:
	case visited:
		return nil
	case visiting:
		return fmt.Errorf("kernel: role %q depends on itself", name)
	}
	r, ok := registry[name]
	if !ok {
		return fmt.Errorf("kernel: role %q is needed but not registered", name)
	}
	state[name] = visiting
	for _, dependency := range r.DependsOn {
		if err := appendRole(dependency, state, ordered); err != nil {
			return err
		}
	}
	state[name] = visited
	*ordered = append(*ordered, r)
	return nil
}
