package verb

import (
	"math"
	"runtime/debug"

	"monsoonfork/core/settings"
)

const (
	bytesPerMB = 1_000_000
	// heapShare is the share of the setting MemoryMB that the Go runtime may use. The rest
	// is for the program itself and for what the heap exceeds the limit by.
	heapShare = 0.8
)

// setMemoryLimit sets the soft memory limit of the Go runtime from the settings. Near the
// limit the runtime collects garbage more often, instead of letting the heap double.
func setMemoryLimit(s *settings.Settings) { debug.SetMemoryLimit(softMemoryLimit(s.MemoryMB)) }

// softMemoryLimit returns the limit in bytes for a value of MemoryMB.
func softMemoryLimit(memoryMB float64) int64 {
	if memoryMB <= 0 {
		return math.MaxInt64
	}
	return int64(heapShare * memoryMB * bytesPerMB)
}
