package kernel

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/fault"
	"monsoonfork/core/settings"
)

// registerTestRoles replaces the registry by one with the given roles for one test.
func registerTestRoles(t *testing.T, roles ...Role) {
	t.Helper()
	saved := registry
	registry = make(map[string]Role)
	t.Cleanup(func() { registry = saved })
	for _, r := range roles {
		Register(r)
	}
}

// lifecycleRecorder records the calls of the roles' callbacks, in order.
type lifecycleRecorder struct{ events []string }

// newRole returns a role whose callbacks are recorded.
func (r *lifecycleRecorder) newRole(name string, dependsOn ...string) Role {
	record := func(event string) { r.events = append(r.events, event+" "+name) }
	return Role{Name: name, DependsOn: dependsOn, Start: func(context.Context, *Node) (*Callbacks, error) {
		record("start")
		return &Callbacks{
			AnnounceStop: func(time.Time) { record("announce") },
			Drain:        func(context.Context) error { record("drain"); return nil },
			Close:        func() error { record("close"); return nil },
			Dump:         func() any { return name },
		}, nil
	}}
}

func newTestNode() *Node {
	return NewNode(&settings.Settings{Name: "a", Domain: "d"}, log.NewNopLogger())
}

func TestRolesStartInOrderAndStopInReverse(t *testing.T) {
	r := &lifecycleRecorder{}
	registerTestRoles(t, r.newRole("A", "C"), r.newRole("B"), r.newRole("C"))
	n := newTestNode()
	if err := n.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	if d := n.Dump(); len(d.Roles) != 3 {
		t.Errorf("dump has roles %v", d.Roles)
	}
	if err := n.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	n.Close()
	want := []string{
		"start C", "start A", "start B",
		"announce B", "announce A", "announce C",
		"drain B", "drain A", "drain C",
		"close B", "close A", "close C",
	}
	if !slices.Equal(r.events, want) {
		t.Errorf("events %v, want %v", r.events, want)
	}
}

func TestFailedStartClosesStartedRoles(t *testing.T) {
	r := &lifecycleRecorder{}
	failing := Role{Name: "Z", Start: func(context.Context, *Node) (*Callbacks, error) {
		return nil, fault.New(fault.BadSettings, "no")
	}}
	registerTestRoles(t, r.newRole("A"), failing)
	err := newTestNode().Start(t.Context())
	if !fault.Is(err, fault.BadSettings) || !strings.Contains(err.Error(), "role Z") {
		t.Errorf("got %v", err)
	}
	if !slices.Contains(r.events, "close A") {
		t.Errorf("events %v: role A was not closed", r.events)
	}
}

func TestInvalidRoleDependenciesAreErrors(t *testing.T) {
	r := &lifecycleRecorder{}
	registerTestRoles(t, r.newRole("A", "B"), r.newRole("B", "A"))
	if _, err := Roles(settings.OwnText); err == nil {
		t.Error("two roles that depend on each other: got no error")
	}
	registerTestRoles(t, r.newRole("A", "Missing"))
	if _, err := Roles(settings.OwnText); err == nil {
		t.Error("dependency on a role that is not registered: got no error")
	}
}

func TestDrainingNodeIsNotReadyDuringTheBalancerDelay(t *testing.T) {
	registerTestRoles(t)
	n := newTestNode()
	n.Settings.BalancerDelayMS = 300
	if err := n.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := n.Ready(); err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- n.Drain(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	if !fault.Is(n.Ready(), fault.ShuttingDown) {
		t.Error("the node is ready while it drains")
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestNeedReportsMissingType(t *testing.T) {
	n := newTestNode()
	var (
		found       *settings.Settings
		notProvided *Role
	)
	if err := n.Require(&found); err == nil || !strings.Contains(err.Error(), "settings.Settings") {
		t.Errorf("got %v", err)
	}
	Provide(n, n.Settings)
	if err := n.Require(&found); err != nil || found != n.Settings {
		t.Errorf("got %v, %v", found, err)
	}
	if err := n.Require(&found, &notProvided); !fault.Is(err, fault.Internal) {
		t.Errorf("no role provides *Role: got %v, want an error of kind Internal", err)
	}
}

// TestStartingNodeIsNotReady guards against a readiness check that is answered while the role
// that serves callers is not started yet: callers were sent to an instance that refused them.
func TestStartingNodeIsNotReady(t *testing.T) {
	var whileStarting error
	n := newTestNode()
	first := (&lifecycleRecorder{}).newRole("A")
	second := Role{Name: "B", DependsOn: []string{"A"}, Start: func(context.Context, *Node) (*Callbacks, error) {
		whileStarting = n.Ready()
		return &Callbacks{}, nil
	}}
	registerTestRoles(t, first, second)
	if err := n.Ready(); err == nil {
		t.Error("ready before Start")
	}
	if err := n.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	if whileStarting == nil {
		t.Error("ready while a role is started")
	}
	if err := n.Ready(); err != nil {
		t.Errorf("not ready after Start: %v", err)
	}
}
