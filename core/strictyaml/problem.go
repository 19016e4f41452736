// Package strictyaml decodes YAML into typed structs and reports all problems, each
// with its line, field path, error and remedy.
package strictyaml

import (
	"fmt"
	"strings"
)

// Problem is one error in a YAML document.
type Problem struct {
	Line    int    // Line number from 1; 0 when unknown.
	Path    string // Field path such as "Engines[2].Role"; empty for the document.
	Message string `json:"Wrong"` // The error, such as "the role is missing".
	Remedy  string `json:"Right"` // The remedy, such as "write Prefill or Decode"; may be empty.
}

// String formats the problem in one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Path != "" {
		fmt.Fprintf(&b, "%s: ", p.Path)
	}
	b.WriteString(p.Message)
	if p.Remedy != "" {
		fmt.Fprintf(&b, "; %s", p.Remedy)
	}
	return b.String()
}

// Problems is a list of problems. It implements error.
type Problems []Problem

// Error formats the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns ps as an error, or nil when there is no problem.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// ValueError is an error of an UnmarshalText method that Decode turns into a
// Problem. Message is the error, Remedy what to write instead.
type ValueError struct {
	Message string
	Remedy  string
}

// Error returns the error and the remedy in one line.
func (e *ValueError) Error() string { return e.Message + "; " + e.Remedy }
