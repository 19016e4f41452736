package kernel

import (
	"context"
	"errors"
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
	"monsoonfork/core/membudget"
	"monsoonfork/core/settings"
)

// Node is one daemon process, with the values that its roles share.
type Node struct {
	ID       ident.InstanceID
	Started  time.Time
	Settings *settings.Settings
	Log      log.Logger
	Metrics  metrics.Registry
	Now      func() time.Time
	Memory   *membudget.Budget // Limits the bytes that the instance holds for others.

	mu             sync.Mutex
	providedByType map[reflect.Type]any
	running        []runningRole
	started        atomic.Bool // All roles are started.
	draining       atomic.Bool
}

// errStarting is why an instance is not ready whose roles are not all started: the role that
// serves callers may be one of them.
var errStarting = errors.New("the instance is starting")

// runningRole is a started role with its callbacks.
type runningRole struct {
	role      Role
	callbacks *Callbacks
}

// NewNode returns a node with a new instance id. Its roles are not started yet.
func NewNode(s *settings.Settings, logger log.Logger) *Node {
	id := ident.NewInstanceID(s.Name)
	return &Node{
		ID:             id,
		Started:        time.Now(),
		Settings:       s,
		Log:            log.With(logger, "instance", string(id), "domain", string(s.Domain)),
		Metrics:        metrics.DefaultRegistry,
		Now:            time.Now,
		Memory:         membudget.New(membudget.LimitFor(s.MemoryMB)),
		providedByType: make(map[reflect.Type]any),
	}
}

// Provide makes v available to the roles that are started later. They get it with Require,
// by its type T.
func Provide[T any](n *Node, v T) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.providedByType[reflect.TypeFor[T]()] = v
}

// Require sets the variable that each target points to, to the value provided for the
// variable's type. It is an error if no value of that type has been provided.
func (n *Node) Require(targets ...any) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, target := range targets {
		value := reflect.ValueOf(target).Elem()
		provided, ok := n.providedByType[value.Type()]
		if !ok {
			return fault.New(fault.Internal, "no role provides %v", value.Type())
		}
		value.Set(reflect.ValueOf(provided))
	}
	return nil
}

// Start starts the roles of the node's deployment in dependency order. If one fails, it
// closes those that were started before and returns the error.
func (n *Node) Start(ctx context.Context) error {
	roles, err := Roles(n.Settings.Deployment)
	if err != nil {
		return err
	}
	for _, r := range roles {
		callbacks, err := r.Start(ctx, n)
		if err != nil {
			n.Close()
			return fmt.Errorf("start role %s: %w", r.Name, err)
		}
		n.mu.Lock()
		n.running = append(n.running, runningRole{r, callbacks})
		n.mu.Unlock()
		_ = level.Debug(n.Log).Log("msg", event.RoleStarted, "role", r.Name)
	}
	n.started.Store(true)
	return nil
}

// Draining reports whether a planned stop has begun.
func (n *Node) Draining() bool { return n.draining.Load() }

// Drain makes the planned stop: the instance reports that it is not ready, calls the
// AnnounceStop callbacks, waits for the balancer delay, so that the load balancer stops
// sending callers, then drains the roles, the last started first. It returns the first
// error of a role.
func (n *Node) Drain(ctx context.Context) error {
	n.draining.Store(true)
	_ = level.Info(n.Log).Log("msg", event.Draining)
	deadline, _ := ctx.Deadline()
	for _, s := range n.runningReversed() {
		if s.callbacks.AnnounceStop != nil {
			s.callbacks.AnnounceStop(deadline)
		}
	}
	delay := time.Duration(n.Settings.BalancerDelayMS) * time.Millisecond
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
	var firstErr error
	for _, s := range n.runningReversed() {
		if s.callbacks.Drain == nil {
			continue
		}
		if err := s.callbacks.Drain(ctx); err != nil {
			_ = level.Warn(n.Log).Log("msg", event.DrainFailed, "role", s.role.Name, "err", err)
			if firstErr == nil {
				firstErr = err
			}
		}
	}
	return firstErr
}

// Reload passes new settings to the roles. Each applies those that can change while it
// runs.
func (n *Node) Reload(s *settings.Settings) {
	for _, started := range n.runningReversed() {
		if started.callbacks.Reload != nil {
			started.callbacks.Reload(s)
		}
	}
}

// Close closes all roles, the last started first, and waits for each. Errors are logged.
func (n *Node) Close() {
	for _, s := range n.runningReversed() {
		if s.callbacks.Close == nil {
			continue
		}
		if err := s.callbacks.Close(); err != nil {
			_ = level.Warn(n.Log).Log("msg", event.CloseFailed, "role", s.role.Name, "err", err)
		}
	}
	n.mu.Lock()
	n.running = nil
	n.mu.Unlock()
}

// Ready returns nil if the instance may get new callers, and otherwise the reason why not.
func (n *Node) Ready() error {
	if n.Draining() {
		return fault.New(fault.ShuttingDown, "the instance is stopping")
	}
	if !n.started.Load() {
		return errStarting
	}
	for _, s := range n.runningReversed() {
		if s.callbacks.Ready == nil {
			continue
		}
		if err := s.callbacks.Ready(); err != nil {
			return fmt.Errorf("role %s: %w", s.role.Name, err)
		}
	}
	return nil
}

// Dump is the state of a daemon process, for operators.
type Dump struct {
	Instance ident.InstanceID
	Domain   ident.DomainID
	Started  time.Time
	Draining bool
	Roles    map[string]any
}

// Dump returns the state of the process and of all its roles.
func (n *Node) Dump() Dump {
	d := Dump{
		Instance: n.ID,
		Domain:   n.Settings.Domain,
		Started:  n.Started,
		Draining: n.Draining(),
		Roles:    make(map[string]any),
	}
	for _, s := range n.runningReversed() {
		if s.callbacks.Dump != nil {
			d.Roles[s.role.Name] = s.callbacks.Dump()
		}
	}
	return d
}

// runningReversed returns the running roles, the last started first.
func (n *Node) runningReversed() []runningRole {
	n.mu.Lock()
	defer n.mu.Unlock()
	list := make([]runningRole, 0, len(n.running))
	for i := len(n.running) - 1; i >= 0; i-- {
		list = append(list, n.running[i])
	}
	return list
}
