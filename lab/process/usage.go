package process

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTick is the unit of CPU times under /proc (USER_HZ of 100).
const clockTick = 10 * time.Millisecond

// Indices of fields of /proc/PID/stat, counted from the one after the command
// name.
const (
	userTimeField   = 11
	systemTimeField = 12
	residentField   = 21
	minStatFields   = 22
)

// Usage is the resource usage of a process.
type Usage struct {
	CPUTime       time.Duration // User and system CPU time since the process started.
	ResidentBytes int64         // Resident memory in bytes.
}

// Usage reads the resource usage of the process from /proc.
func (p *Process) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, err
	}
	// The command name is in parentheses and may contain spaces.
	_, rest, _ := bytes.Cut(data, []byte(") "))
	fields := bytes.Fields(rest)
	if len(fields) < minStatFields {
		return Usage{}, fmt.Errorf("%s: /proc stat has too few fields", p.Name)
	}
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(string(fields[i]), 10, 64)
		return n
	}
	return Usage{
		CPUTime:       time.Duration(number(userTimeField)+number(systemTimeField)) * clockTick,
		ResidentBytes: number(residentField) * int64(os.Getpagesize()),
	}, nil
}
