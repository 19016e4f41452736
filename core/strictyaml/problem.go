// Package strictyaml decodes YAML into typed structs and reports all problems
// with line, field path, what is wrong and what would be right.
package strictyaml

import (
	"fmt"
	"strings"
)

// Problem is one error of a YAML document.
type Problem struct {
	Line  int    // Line number from 1; 0 when unknown.
	Path  string // Field path such as "Engines[2].Role"; empty for the document.
	Wrong string // What is wrong.
	Right string // What would be right.
}

// String returns the problem in one line.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", p.Line)
	}
	if p.Path != "" {
		fmt.Fprintf(&b, "%s: ", p.Path)
	}
	b.WriteString(p.Wrong)
	if p.Right != "" {
		fmt.Fprintf(&b, "; %s", p.Right)
	}
	return b.String()
}

// Problems is a list of problems that is an error when it is not empty.
type Problems []Problem

// Error implements error: one line for each problem.
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

// ValueError is returned by UnmarshalText methods of fields. It keeps what is
// wrong apart from what would be right.
type ValueError struct {
	Wrong string
	Right string
}

// Error implements error.
func (e *ValueError) Error() string { return e.Wrong + "; " + e.Right }
