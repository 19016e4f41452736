package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record collects what was sent, answered and run, and the broken rules.
type record struct {
	started time.Time

	mu     sync.Mutex
	lines  []string
	broken []string
}

func newRecord() *record { return &record{started: time.Now()} }

// addf adds a line with the time since the start.
func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.started).Seconds())+fmt.Sprintf(format, args...))
}

// breakf adds a line about a broken rule.
func (r *record) breakf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.addf("BROKEN: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// breaks returns the broken rules so far.
func (r *record) breaks() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}

// write writes the record to a file.
func (r *record) write(path, verdict string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := verdict + "\n" + strings.Join(r.broken, "\n") + "\n\n" + strings.Join(r.lines, "\n") + "\n"
	return os.WriteFile(path, []byte(text), 0o644)
}
