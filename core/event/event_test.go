package event

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const repositoryRoot = "../.."

// filesWithSuffix returns the files below the given directories of the repository whose
// names end in suffix.
func filesWithSuffix(t *testing.T, suffix string, dirs ...string) []string {
	t.Helper()
	var all []string
	for _, dir := range dirs {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, dir), func(path string, _ fs.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, suffix) {
				all = append(all, path)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return all
}

func TestEveryEventHasADescription(t *testing.T) {
	seen := make(map[string]bool)
	for _, e := range All() {
		d := e.Describe()
		if d.Meaning == "" || seen[e.String()] {
			t.Errorf("%v: no description, or its text is that of another event", e)
		}
		seen[e.String()] = true
		if got, err := ParseEvent(e.String()); err != nil || got != e {
			t.Errorf("ParseEvent(%q) = %v, %v", e, got, err)
		}
	}
	if _, err := ParseEvent("no such line"); err == nil {
		t.Error("ParseEvent returned no error for an unknown text")
	}
}

// TestSourceLogsOnlyListedEvents parses all log calls of the source and fails for a msg
// that is not an event, for a field that the event's description does not list, and for
// an event that is never logged.
func TestSourceLogsOnlyListedEvents(t *testing.T) {
	used := map[Event]bool{LinesDropped: true} // Written directly to standard output, without a logger.
	for _, path := range filesWithSuffix(t, ".go", "core", "io", "platform", "cmd") {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.CallExpr:
				if f, ok := n.Fun.(*ast.SelectorExpr); ok && f.Sel.Name == "Log" {
					checkLogCall(t, path, n.Args, used)
				}
			case *ast.CompositeLit:
				checkLogCall(t, path, n.Elts, used)
			}
			return true
		})
	}
	for _, e := range All() {
		if !used[e] {
			t.Errorf("the source never logs %q", e)
		}
	}
}

// checkLogCall checks the arguments of a log call, keys and values in turn, and marks its
// events as used. Other calls and literals are ignored.
func checkLogCall(t *testing.T, path string, args []ast.Expr, used map[Event]bool) {
	t.Helper()
	if len(args) < 2 || stringLiteral(args[0]) != "msg" {
		return
	}
	var events []Event
	switch value := args[1].(type) {
	case *ast.SelectorExpr:
		i := slices.IndexFunc(All(), func(e Event) bool { return constantNames[e] == value.Sel.Name })
		if i < 0 {
			t.Errorf("%s: event.%s is not an event", path, value.Sel.Name)
			return
		}
		events = []Event{All()[i]}
	case *ast.Ident:
		if value.Name != "outcome" {
			t.Errorf("%s: the msg of a log call is the variable %s, which the test can't resolve", path, value.Name)
		}
		events = []Event{Refused, Failed}
	default:
		t.Errorf("%s: the msg of a log call is not an event", path)
	}
	for _, e := range events {
		used[e] = true
		for i := 2; i < len(args); i += 2 {
			if key := stringLiteral(args[i]); key != "" && !slices.Contains(e.Describe().Fields, key) {
				t.Errorf("%s: the description of %q does not list the field %s", path, e, key)
			}
		}
	}
}

// stringLiteral returns the value of a string literal, or "" for another expression.
func stringLiteral(e ast.Expr) string {
	if lit, ok := e.(*ast.BasicLit); ok && lit.Kind == token.STRING {
		if s, err := strconv.Unquote(lit.Value); err == nil {
			return s
		}
	}
	return ""
}

// constantNames holds the name of the Go constant of each event.
var constantNames = readConstantNames()

func readConstantNames() map[Event]string {
	file, err := parser.ParseFile(token.NewFileSet(), "event.go", nil, 0)
	if err != nil {
		panic(err)
	}
	names := make(map[Event]string)
	ast.Inspect(file, func(n ast.Node) bool {
		if d, ok := n.(*ast.GenDecl); ok && d.Tok == token.CONST {
			for i, spec := range d.Specs {
				if v, ok := spec.(*ast.ValueSpec); ok {
					names[Event(i)] = v.Names[0].Name
				}
			}
		}
		return true
	})
	return names
}

var (
	exampleLine  = regexp.MustCompile(`(?m)^ {4}.*\bmsg=.*$`)
	exampleMsg   = regexp.MustCompile(`\bmsg=("[^"]*"|[a-z]+)`)
	shellCommand = regexp.MustCompile(`^ {4}(grep|awk|sed) `)
	exampleField = regexp.MustCompile(`(?:^| )([a-z_]+)=`)
	commonFields = []string{"ts", "level", "instance", "part", "domain", "msg"}
)

// TestPagesShowOnlyListedEvents fails if a log line shown in the documentation has a msg
// that is not an event or a field that the event's description does not list.
func TestPagesShowOnlyListedEvents(t *testing.T) {
	exampleCount := 0
	for _, path := range filesWithSuffix(t, ".md", "docs") {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range exampleLine.FindAllString(string(raw), -1) {
			if shellCommand.MatchString(line) {
				continue
			}
			e, err := ParseEvent(strings.Trim(exampleMsg.FindStringSubmatch(line)[1], `"`))
			if err != nil {
				t.Errorf("%s: %v: %s", path, err, line)
				continue
			}
			exampleCount++
			unquoted := regexp.MustCompile(`"[^"]*"`).ReplaceAllString(line, "")
			for _, f := range exampleField.FindAllStringSubmatch(unquoted, -1) {
				if !slices.Contains(commonFields, f[1]) && !slices.Contains(e.Describe().Fields, f[1]) {
					t.Errorf("%s: %q has no field %s: %s", path, e, f[1], line)
				}
			}
		}
	}
	if exampleCount < 6 {
		t.Errorf("found %d log lines in the documentation, want at least 6", exampleCount)
	}
}
