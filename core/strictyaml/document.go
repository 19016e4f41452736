package strictyaml

import (
	"fmt"
	"strings"
)

// Document holds the line of each field path of a decoded YAML document.
type Document struct {
	InvalidSyntax bool // The document is not YAML, so nothing was decoded.

	lines map[string]int
}

// Line returns the line of path. For a path that the document lacks, it returns the
// line of the nearest parent that is present, or 0 if there is none.
func (d *Document) Line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = parentPath(path)
	}
	return d.lines[""]
}

// Has reports whether the document has a value at path.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// parentPath returns a path without its last field or index.
func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

// Checker collects the problems of a document: those found by Decode and those
// found by later checks of the decoded value.
type Checker struct {
	doc      *Document
	problems Problems
	failed   map[string]bool // Paths with a problem.
}

// NewChecker returns a Checker that already holds the problems found by Decode.
func NewChecker(doc *Document, found Problems) *Checker {
	c := &Checker{doc: doc, problems: found, failed: map[string]bool{}}
	for _, p := range found {
		c.failed[p.Path] = true
	}
	return c
}

// Add records a problem at path. remedy says what to write instead.
func (c *Checker) Add(path, message, remedy string) {
	c.failed[path] = true
	c.problems = append(c.problems, Problem{Line: c.doc.Line(path), Path: path, Message: message, Remedy: remedy})
}

// Addf records a problem at path. Its message is formatted from format and args.
func (c *Checker) Addf(path, remedy, format string, args ...any) {
	c.Add(path, fmt.Sprintf(format, args...), remedy)
}

// Line returns the line of path, for messages that refer to another field.
func (c *Checker) Line(path string) int { return c.doc.Line(path) }

// Has reports whether the document has a value at path.
func (c *Checker) Has(path string) bool { return c.doc.Has(path) }

// Failed reports whether a problem was recorded at exactly this path. Later checks
// use it to avoid further problems for the same field.
func (c *Checker) Failed(path string) bool {
	return c.failed[path]
}

// Problems returns all problems, sorted by line.
func (c *Checker) Problems() Problems {
	sortByLine(c.problems)
	return c.problems
}
