package process

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTick is the unit of processor times under /proc.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat, counted after the name of the program.
const (
	userTimeField   = 11
	systemTimeField = 12
	residentField   = 21
	statFields      = 22
)

// Usage is what a process uses.
type Usage struct {
	Processor time.Duration // Since its start, user and system.
	Resident  int64         // Bytes of memory.
}

// Usage returns what the process has used so far.
func (p *Process) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, err
	}
	// The name stands in parentheses and may hold spaces.
	_, rest, _ := bytes.Cut(data, []byte(") "))
	fields := bytes.Fields(rest)
	if len(fields) < statFields {
		return Usage{}, fmt.Errorf("%s: unexpected contents of stat", p.Name)
	}
	number := func(i int) int64 {
		n, _ := strconv.ParseInt(string(fields[i]), 10, 64)
		return n
	}
	return Usage{
		Processor: time.Duration(number(userTimeField)+number(systemTimeField)) * clockTick,
		Resident:  number(residentField) * int64(os.Getpagesize()),
	}, nil
}
