package strictyaml

import (
	"fmt"
	"strings"
)

// Document knows the line of each field path of a decoded YAML document.
type Document struct {
	Unreadable bool // The document is not YAML, so nothing was decoded.

	lines map[string]int
}

// Line returns the line of path. A path that is absent from the document gets
// the line of its nearest parent, and 0 when there is none.
func (d *Document) Line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = parentPath(path)
	}
	return d.lines[""]
}

// Has reports whether the document holds a value at path.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// parentPath cuts the last field or index off a path.
func parentPath(path string) string {
	cut := strings.LastIndexAny(path, ".[")
	if cut < 0 {
		return ""
	}
	return path[:cut]
}

// Checker collects the problems that the owner of a type finds after decoding.
type Checker struct {
	doc      *Document
	problems Problems
	failed   map[string]bool // Paths with a problem.
}

// NewChecker returns a Checker that starts with the problems found so far.
func NewChecker(doc *Document, found Problems) *Checker {
	c := &Checker{doc: doc, problems: found, failed: map[string]bool{}}
	for _, p := range found {
		c.failed[p.Path] = true
	}
	return c
}

// Add records a problem at path.
func (c *Checker) Add(path, wrong, right string) {
	c.failed[path] = true
	c.problems = append(c.problems, Problem{Line: c.doc.Line(path), Path: path, Wrong: wrong, Right: right})
}

// Addf records a problem at path; wrong is a format for args.
func (c *Checker) Addf(path, right, wrong string, args ...any) {
	c.Add(path, fmt.Sprintf(wrong, args...), right)
}

// Line returns the line of path, for messages that point at another place.
func (c *Checker) Line(path string) int { return c.doc.Line(path) }

// Has reports whether the document holds a value at path.
func (c *Checker) Has(path string) bool { return c.doc.Has(path) }

// Failed reports whether a problem is known at exactly this path, so that a
// later check need not repeat it.
func (c *Checker) Failed(path string) bool {
	return c.failed[path]
}

// Problems returns all problems, in the order of their lines.
func (c *Checker) Problems() Problems {
	sortByLine(c.problems)
	return c.problems
}
