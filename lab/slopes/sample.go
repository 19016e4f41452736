package slopes

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"monsoonfork/core/ident"
	"monsoonfork/lab/fleet"
)

// ticksPerSecond is the frequency of the clock ticks (USER_HZ) in which Linux reports
// CPU time in /proc.
const ticksPerSecond = 100

// fleetSample holds the cumulative resource use of a fleet at one time; memory and
// openWatches are current values.
type fleetSample struct {
	takenAt     time.Time
	cpuTime     time.Duration // Sum over all daemons.
	memory      ident.Bytes   // Resident memory, sum over all daemons.
	bytesOut    int64         // Sent between instances, sum over all daemons.
	storeReads  int64
	storeWrites int64
	openWatches int64 // Long polls open at the store.
}

// storeCounts is the part of the simulated store's counters that is used here. Calls
// is by the name of the operation.
type storeCounts struct {
	Calls    map[string]int64 `json:"Calls"`
	Watching int64            `json:"Watching"`
}

// readCalls are the operations of the store that are counted as reads; all others are
// writes.
var readCalls = map[string]bool{"Get": true, "GetPrefix": true, "Watch": true}

// sampleFleet reads the resource use of all daemons and the counters of the store.
func sampleFleet(ctx context.Context, f *fleet.Fleet) (fleetSample, error) {
	s := fleetSample{takenAt: time.Now()}
	for _, i := range f.Instances {
		pid := i.Process.PID()
		cpuTime, err := processCPUTime(pid)
		if err != nil {
			return s, err
		}
		memory, err := residentMemory(pid)
		if err != nil {
			return s, err
		}
		var metrics map[string]struct{ Count int64 }
		if err := i.Metrics(ctx, &metrics); err != nil {
			return s, err
		}
		s.cpuTime += cpuTime
		s.memory += memory
		s.bytesOut += metrics["Peer.BytesOut"].Count
	}
	var counts storeCounts
	if err := f.Store.Control.Record(ctx, &counts); err != nil {
		return s, err
	}
	for call, n := range counts.Calls {
		if readCalls[call] {
			s.storeReads += n
		} else {
			s.storeWrites += n
		}
	}
	s.openWatches = counts.Watching
	return s, nil
}

// costSince returns the costs in the time between two samples.
func (s fleetSample) costSince(before fleetSample, daemons int) Point {
	seconds := s.takenAt.Sub(before.takenAt).Seconds()
	n := float64(daemons)
	return Point{
		CPUPercent:  100 * (s.cpuTime - before.cpuTime).Seconds() / seconds / n,
		MemoryBytes: s.memory / ident.Bytes(daemons),
		BytesOut:    float64(s.bytesOut-before.bytesOut) / seconds / n,
		StoreReads:  60 * float64(s.storeReads-before.storeReads) / seconds,
		StoreWrites: 60 * float64(s.storeWrites-before.storeWrites) / seconds,
		Watches:     float64(s.openWatches),
	}
}

// processCPUTime returns the user and system CPU time that a process has used.
func processCPUTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The second field is the program name in parentheses, which may contain spaces.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const userTicks, systemTicks = 11, 12
	if len(fields) <= systemTicks {
		return 0, fmt.Errorf("process %d: malformed stat", pid)
	}
	ticks := 0
	for _, field := range []string{fields[userTicks], fields[systemTicks]} {
		n, err := strconv.Atoi(field)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// residentMemory returns the resident memory of a process.
func residentMemory(pid int) (ident.Bytes, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		value, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		var kilobytes int64
		if _, err := fmt.Sscan(value, &kilobytes); err != nil {
			return 0, err
		}
		return ident.Bytes(kilobytes << 10), nil
	}
	return 0, fmt.Errorf("process %d: no VmRSS", pid)
}
