package verb

import (
	"context"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"monsoonfork/core/ident"
	"monsoonfork/core/settings"
	"monsoonfork/lab/process"
)

// TestStopAmidReloads guards against a planned stop that is lost because it is requested
// while many reloads are pending.
func TestStopAmidReloads(t *testing.T) {
	runner, err := process.NewRunner()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = runner.Close() })
	program, err := runner.Build(t.Context(), "monsoonfork")
	if err != nil {
		t.Fatal(err)
	}
	s := settings.Default()
	s.Name, s.Domain, s.Deployment, s.BalancerDelayMS = "a", "d", settings.Platform, 0
	s.StoreAddresses = []ident.Address{freeAddress(t)}
	s.CallerAddress, s.PeerAddress, s.OperatorAddress, s.MetricsAddress = freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	raw, err := yaml.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	path, err := runner.WriteFile("a.yaml", raw)
	if err != nil {
		t.Fatal(err)
	}
	p, err := runner.Start(process.Spec{Name: "a", Path: program, Args: []string{"serve", "--settings", path}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.FirstLine(t.Context()); err != nil {
		t.Fatal(err)
	}
	const reloads = 2000
	for range reloads {
		if err := p.Hangup(); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.Terminate(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := p.Wait(ctx); err != nil {
		t.Errorf("the instance did not stop: %v", err)
	}
}
