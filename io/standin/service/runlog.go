package service

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// runLog appends runs to a file with one JSON object per line, so that they are
// still counted after the process is killed and restarted. A nil runLog stores
// nothing.
type runLog struct {
	file *os.File
}

// WithRunLog sets the path of a file that preserves the recorded runs across
// restarts.
func WithRunLog(path string) Option {
	return func(s *Service) { s.runLogPath = path }
}

// openRunLog opens or creates the log at path and returns it with the runs that it
// contains.
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

// readRuns reads the runs from a file. A missing file contains no runs.
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

// append writes a run to the file. Each line is a single write, so that a killed
// process leaves no partial line.
func (l *runLog) append(run Run) error {
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
