package kernel

import (
	"context"
	"fmt"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/settings"
)

// Node is one daemon process. Roles find here what they share.
type Node struct {
	ID       ident.InstanceID
	Started  time.Time
	Settings *settings.Settings
	Log      log.Logger
	Metrics  metrics.Registry
	Now      func() time.Time

	mu       sync.Mutex
	provided map[reflect.Type]any
	running  []startedRole
	draining atomic.Bool
}

// startedRole is a role with its running state.
type startedRole struct {
	role    Role
	running *Running
}

// NewNode returns a node with a new instance id and no roles running.
func NewNode(s *settings.Settings, logger log.Logger) *Node {
	id := ident.NewInstanceID(s.Name)
	return &Node{
		ID:       id,
		Started:  time.Now(),
		Settings: s,
		Log:      log.With(logger, "instance", string(id), "domain", string(s.Domain)),
		Metrics:  metrics.DefaultRegistry,
		Now:      time.Now,
		provided: make(map[reflect.Type]any),
	}
}

// Provide makes v available to other roles under its type T.
func Provide[T any](n *Node, v T) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.provided[reflect.TypeFor[T]()] = v
}

// Need sets each target, a pointer, to what a role started earlier provided
// under the type that it points to.
func (n *Node) Need(targets ...any) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, target := range targets {
		value := reflect.ValueOf(target).Elem()
		provided, ok := n.provided[value.Type()]
		if !ok {
			return fault.New(fault.Internal, "no role provides %v", value.Type())
		}
		value.Set(reflect.ValueOf(provided))
	}
	return nil
}

// Start starts all registered roles in order. On an error it closes those
// that had started.
func (n *Node) Start(ctx context.Context) error {
	roles, err := Roles(n.Settings.Deployment)
	if err != nil {
		return err
	}
	for _, r := range roles {
		running, err := r.Start(ctx, n)
		if err != nil {
			n.Close()
			return fmt.Errorf("start role %s: %w", r.Name, err)
		}
		n.mu.Lock()
		n.running = append(n.running, startedRole{r, running})
		n.mu.Unlock()
		_ = level.Debug(n.Log).Log("msg", event.RoleStarted, "role", r.Name)
	}
	return nil
}

// Draining reports whether a planned stop has begun.
func (n *Node) Draining() bool { return n.draining.Load() }

// Drain makes the planned stop: the instance reports not ready and tells the
// others that it leaves, waits until the balancer has seen it, then drains the
// roles, the last started first.
func (n *Node) Drain(ctx context.Context) error {
	n.draining.Store(true)
	_ = level.Info(n.Log).Log("msg", event.Draining)
	by, _ := ctx.Deadline()
	for _, s := range n.reversed() {
		if s.running.Leave != nil {
			s.running.Leave(by)
		}
	}
	delay := time.Duration(n.Settings.BalancerDelayMS) * time.Millisecond
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
	var first error
	for _, s := range n.reversed() {
		if s.running.Drain == nil {
			continue
		}
		if err := s.running.Drain(ctx); err != nil {
			_ = level.Warn(n.Log).Log("msg", event.DrainFailed, "role", s.role.Name, "err", err)
			if first == nil {
				first = err
			}
		}
	}
	return first
}

// Reload gives new settings to the roles. Each takes up what it can.
func (n *Node) Reload(s *settings.Settings) {
	for _, started := range n.reversed() {
		if started.running.Reload != nil {
			started.running.Reload(s)
		}
	}
}

// Close stops all roles, the last started first, and waits for them.
func (n *Node) Close() {
	for _, s := range n.reversed() {
		if s.running.Close == nil {
			continue
		}
		if err := s.running.Close(); err != nil {
			_ = level.Warn(n.Log).Log("msg", event.CloseFailed, "role", s.role.Name, "err", err)
		}
	}
	n.mu.Lock()
	n.running = nil
	n.mu.Unlock()
}

// Ready returns why the instance should get no new callers, or nil.
func (n *Node) Ready() error {
	if n.Draining() {
		return fault.New(fault.ShuttingDown, "the instance is stopping")
	}
	for _, s := range n.reversed() {
		if s.running.Ready == nil {
			continue
		}
		if err := s.running.Ready(); err != nil {
			return fmt.Errorf("role %s: %w", s.role.Name, err)
		}
	}
	return nil
}

// Dump is the state of a process.
type Dump struct {
	Instance ident.InstanceID
	Domain   ident.DomainID
	Started  time.Time
	Draining bool
	Roles    map[string]any
}

// Dump returns the state of all roles.
func (n *Node) Dump() Dump {
	d := Dump{
		Instance: n.ID,
		Domain:   n.Settings.Domain,
		Started:  n.Started,
		Draining: n.Draining(),
		Roles:    make(map[string]any),
	}
	for _, s := range n.reversed() {
		if s.running.Dump != nil {
			d.Roles[s.role.Name] = s.running.Dump()
		}
	}
	return d
}

// reversed returns the running roles, the last started first.
func (n *Node) reversed() []startedRole {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]startedRole, 0, len(n.running))
	for i := len(n.running) - 1; i >= 0; i-- {
		list = append(list, n.running[i])
	}
	return list
}
