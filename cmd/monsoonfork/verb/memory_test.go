package verb

import (
	"math"
	"runtime/debug"
	"testing"

	"monsoonfork/core/settings"
)

// TestMemoryLimitIsSet guards against a process that the platform ends because its heap
// grows to twice the live data during a storm of configurations.
func TestMemoryLimitIsSet(t *testing.T) {
	before := debug.SetMemoryLimit(-1)
	t.Cleanup(func() { debug.SetMemoryLimit(before) })
	for memoryMB, want := range map[float64]int64{0: math.MaxInt64, 112: 89_600_000, 134.5: 107_600_000} {
		setMemoryLimit(&settings.Settings{MemoryMB: memoryMB})
		if got := debug.SetMemoryLimit(-1); got != want {
			t.Errorf("MemoryMB %g: limit %d, want %d", memoryMB, got, want)
		}
	}
}
