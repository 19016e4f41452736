package service

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// runLog keeps the runs in a file, so that they are still counted after the
// process was killed and started anew. A nil log keeps nothing.
type runLog struct {
	file *os.File
}

// WithRunLog sets a file that keeps the runs over restarts.
func WithRunLog(path string) Option {
	return func(s *Service) { s.runLogPath = path }
}

// openRunLog returns the log at path and the runs that are in it.
func openRunLog(path string) (*runLog, []Run, error) {
	runs, err := readRuns(path)
	if err != nil {
		return nil, nil, err
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	return &runLog{file: file}, runs, nil
}

// readRuns returns the runs in a file; none when there is no file.
func readRuns(path string) (runs []Run, err error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var run Run
		if err := json.Unmarshal(lines.Bytes(), &run); err != nil {
			return nil, fmt.Errorf("run log %s: %w", path, err)
		}
		runs = append(runs, run)
	}
	return runs, lines.Err()
}

// add appends a run. One write is one line, so that a killed process leaves no
// half line.
func (l *runLog) add(run Run) error {
	if l == nil {
		return nil
	}
	line, err := json.Marshal(run)
	if err != nil {
		return err
	}
	_, err = l.file.Write(append(line, '\n'))
	return err
}

// close closes the file.
func (l *runLog) close() error {
	if l == nil {
		return nil
	}
	return l.file.Close()
}
