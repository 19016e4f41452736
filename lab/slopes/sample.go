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

// ticksPerSecond is the unit of processor time in /proc on Linux.
const ticksPerSecond = 100

// sample is what a fleet has used up to a moment.
type sample struct {
	at        time.Time
	processor time.Duration // Of all daemons.
	memory    ident.Bytes   // Of all daemons.
	bytesOut  int64         // Of all daemons, over links.
	reads     int64
	writes    int64
	watching  int64
}

// storeCounts is the part of the store's record that is read here.
type storeCounts struct {
	Calls    map[string]int64 `json:"Calls"`
	Watching int64            `json:"Watching"`
}

// readCalls are the kinds of the store's calls that are reads.
var readCalls = map[string]bool{"Get": true, "GetPrefix": true, "Watch": true}

// sampleFleet samples all daemons and the store.
func sampleFleet(ctx context.Context, f *fleet.Fleet) (sample, error) {
	s := sample{at: time.Now()}
	for _, i := range f.Instances {
		pid := i.Process.PID()
		processor, err := processorTime(pid)
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
		s.processor += processor
		s.memory += memory
		s.bytesOut += metrics["Peer.BytesOut"].Count
	}
	var counts storeCounts
	if err := f.Store.Control.Record(ctx, &counts); err != nil {
		return s, err
	}
	for call, n := range counts.Calls {
		if readCalls[call] {
			s.reads += n
		} else {
			s.writes += n
		}
	}
	s.watching = counts.Watching
	return s, nil
}

// since returns the costs between two samples.
func (s sample) since(before sample, daemons int) Point {
	seconds := s.at.Sub(before.at).Seconds()
	n := float64(daemons)
	return Point{
		CPUPercent: 100 * (s.processor - before.processor).Seconds() / seconds / n,
		Memory:     s.memory / ident.Bytes(daemons),
		BytesOut:   float64(s.bytesOut-before.bytesOut) / seconds / n,
		Reads:      60 * float64(s.reads-before.reads) / seconds,
		Writes:     60 * float64(s.writes-before.writes) / seconds,
		Watches:    float64(s.watching),
	}
}

// processorTime reads the processor time of a process.
func processorTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The name of the program stands in brackets and may hold blanks.
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, fmt.Errorf("process %d: malformed stat", pid)
	}
	ticks := 0
	for _, field := range []string{fields[user], fields[system]} {
		n, err := strconv.Atoi(field)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// residentMemory reads the resident memory of a process.
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
