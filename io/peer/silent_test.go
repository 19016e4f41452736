package peer

import (
	"context"
	"testing"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/core/link"
	"monsoonfork/lab/relay"
)

const (
	// pullTime is the time limit of the calls with which instances follow the configuration.
	pullTime = 700 * time.Millisecond
	// inForceTime is the time within which a change of the configuration must be in force.
	inForceTime = 2 * time.Second
)

// TestSilentSessionIsReplacedInTime guards against an instance that is late with a change of
// the configuration, since its session to another instance delivers nothing any more while new
// connections would.
func TestSilentSessionIsReplacedInTime(t *testing.T) {
	a, _ := newTestLinks(t, "a-1", "d1")
	b, target := newTestLinks(t, "b-1", "d1")
	link.Handle(b.RoleLinks(), "Test.Echo", echo)
	r, err := relay.New(string(target))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), pullTime)
		defer cancel()
		_, err := a.CallAddress(ctx, ident.Address(r.Address()), "Test.Echo", &Hello{Instance: "x"}, &Hello{})
		return err
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	silentSince := time.Now()
	r.Cut()
	r.Heal() // The connection that was cut keeps losing data.
	for call() != nil {
	}
	if took := time.Since(silentSince); took > inForceTime {
		t.Errorf("a call succeeded after %v, want %v", took, inForceTime)
	}
}
