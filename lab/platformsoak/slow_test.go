package platformsoak

import (
	"testing"
	"time"

	"monsoonfork/lab/process"
)

// TestSlowProcessIsSuspendedMostOfTheTime guards against an InstanceSlow that slows nothing,
// or that leaves a process suspended.
func TestSlowProcessIsSuspendedMostOfTheTime(t *testing.T) {
	r, err := process.NewRunner()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	p, err := r.Start(process.Spec{Name: "sleeper", Path: "/bin/sleep", Args: []string{"60"}})
	if err != nil {
		t.Fatal(err)
	}
	end := untilEnd(func() { pauseShortly(p) })
	paused := 0
	const samples = 200
	for range samples {
		if p.Paused() {
			paused++
		}
		time.Sleep(slowRun / 2)
	}
	end()
	if paused < samples/2 {
		t.Errorf("suspended at %d of %d samples", paused, samples)
	}
	if p.Paused() {
		t.Error("still suspended after the end")
	}
}
