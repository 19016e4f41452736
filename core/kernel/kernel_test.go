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

// withRoles replaces the table of roles for one test.
func withRoles(t *testing.T, roles ...Role) {
	t.Helper()
	saved := registry
	registry = make(map[string]Role)
	t.Cleanup(func() { registry = saved })
	for _, r := range roles {
		Register(r)
	}
}

// recorder notes what happens to roles.
type recorder struct{ events []string }

// role returns a role that notes its events.
func (r *recorder) role(name string, after ...string) Role {
	note := func(event string) { r.events = append(r.events, event+" "+name) }
	return Role{Name: name, After: after, Start: func(context.Context, *Node) (*Running, error) {
		note("start")
		return &Running{
			Leave: func(time.Time) { note("leave") },
			Drain: func(context.Context) error { note("drain"); return nil },
			Close: func() error { note("close"); return nil },
			Dump:  func() any { return name },
		}, nil
	}}
}

func newTestNode() *Node {
	return NewNode(&settings.Settings{Name: "a", Domain: "d"}, log.NewNopLogger())
}

func TestRolesStartInOrderAndStopInReverse(t *testing.T) {
	r := &recorder{}
	withRoles(t, r.role("A", "C"), r.role("B"), r.role("C"))
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
		"leave B", "leave A", "leave C",
		"drain B", "drain A", "drain C",
		"close B", "close A", "close C",
	}
	if !slices.Equal(r.events, want) {
		t.Errorf("events %v, want %v", r.events, want)
	}
}

func TestFailedStartClosesWhatHadStarted(t *testing.T) {
	r := &recorder{}
	failing := Role{Name: "Z", Start: func(context.Context, *Node) (*Running, error) {
		return nil, fault.New(fault.BadSettings, "no")
	}}
	withRoles(t, r.role("A"), failing)
	err := newTestNode().Start(t.Context())
	if !fault.Is(err, fault.BadSettings) || !strings.Contains(err.Error(), "role Z") {
		t.Errorf("got %v", err)
	}
	if !slices.Contains(r.events, "close A") {
		t.Errorf("events %v: role A was not closed", r.events)
	}
}

func TestWrongTablesAreErrors(t *testing.T) {
	r := &recorder{}
	withRoles(t, r.role("A", "B"), r.role("B", "A"))
	if _, err := Roles(settings.OwnText); err == nil {
		t.Error("roles that need each other gave no error")
	}
	withRoles(t, r.role("A", "Missing"))
	if _, err := Roles(settings.OwnText); err == nil {
		t.Error("a missing role gave no error")
	}
}

func TestDrainingNodeIsNotReadyBeforeTheBalancerDelay(t *testing.T) {
	withRoles(t)
	n := newTestNode()
	n.Settings.BalancerDelayMS = 300
	if err := n.Ready(); err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- n.Drain(context.Background()) }()
	time.Sleep(100 * time.Millisecond)
	if !fault.Is(n.Ready(), fault.ShuttingDown) {
		t.Error("a draining node is ready")
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
}

func TestNeedNamesWhatIsMissing(t *testing.T) {
	n := newTestNode()
	var (
		found  *settings.Settings
		absent *Role
	)
	if err := n.Need(&found); err == nil || !strings.Contains(err.Error(), "settings.Settings") {
		t.Errorf("got %v", err)
	}
	Provide(n, n.Settings)
	if err := n.Need(&found); err != nil || found != n.Settings {
		t.Errorf("got %v, %v", found, err)
	}
	if err := n.Need(&found, &absent); !fault.Is(err, fault.Internal) {
		t.Errorf("a type that nobody provides: %v", err)
	}
}
