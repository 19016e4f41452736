package rig

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record is the list of what was sent, answered and run.
type Record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// newRecord returns a record in a new file.
func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{started: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// Add adds a line with the time, what happened and pairs of names and values.
func (r *Record) Add(what string, pairs ...any) {
	var line strings.Builder
	fmt.Fprintf(&line, "%9.3f s  %s", time.Since(r.started).Seconds(), what)
	for n := 0; n+1 < len(pairs); n += 2 {
		fmt.Fprintf(&line, " %v=%v", pairs[n], pairs[n+1])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that can't be written is incomplete; the exit status does not depend on it.
	_, _ = fmt.Fprintln(r.out, line.String())
}

// Time returns the seconds from the start of the record to a time.
func (r *Record) Time(at time.Time) float64 { return at.Sub(r.started).Seconds() }

// close writes what is buffered.
func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
