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

const root = "../.."

// files returns the files below directories of the repository whose names end so.
func files(t *testing.T, suffix string, dirs ...string) []string {
	t.Helper()
	var all []string
	for _, dir := range dirs {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
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

func TestEveryEventIsDescribed(t *testing.T) {
	seen := make(map[string]bool)
	for _, e := range All() {
		d := e.Describe()
		if d.Says == "" || seen[e.String()] {
			t.Errorf("%v: without a description, or twice", e)
		}
		seen[e.String()] = true
		if got, err := Named(e.String()); err != nil || got != e {
			t.Errorf("Named(%q) = %v, %v", e, got, err)
		}
	}
	if _, err := Named("no such line"); err == nil {
		t.Error("an unknown text names an event")
	}
}

// TestLinesOfTheSource looks at every line that the source logs.
func TestLinesOfTheSource(t *testing.T) {
	used := map[Event]bool{LinesDropped: true} // Written without a logger.
	for _, path := range files(t, ".go", "core", "io", "platform", "cmd") {
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
					checkLine(t, path, n.Args, used)
				}
			case *ast.CompositeLit:
				checkLine(t, path, n.Elts, used)
			}
			return true
		})
	}
	for _, e := range All() {
		if !used[e] {
			t.Errorf("no line of the source is about %q", e)
		}
	}
}

// checkLine checks the keys and values of a line.
func checkLine(t *testing.T, path string, args []ast.Expr, used map[Event]bool) {
	t.Helper()
	if len(args) < 2 || text(args[0]) != "msg" {
		return
	}
	var about []Event
	switch value := args[1].(type) {
	case *ast.SelectorExpr:
		i := slices.IndexFunc(All(), func(e Event) bool { return identifiers[e] == value.Sel.Name })
		if i < 0 {
			t.Errorf("%s: event.%s is not an event", path, value.Sel.Name)
			return
		}
		about = []Event{All()[i]}
	case *ast.Ident:
		if value.Name != "outcome" {
			t.Errorf("%s: the msg of a line is %s", path, value.Name)
		}
		about = []Event{Refused, Failed}
	default:
		t.Errorf("%s: the msg of a line is not of the list", path)
	}
	for _, e := range about {
		used[e] = true
		for i := 2; i < len(args); i += 2 {
			if key := text(args[i]); key != "" && !slices.Contains(e.Describe().Fields, key) {
				t.Errorf("%s: the row of %q does not name the field %s", path, e, key)
			}
		}
	}
}

// text returns the value of a string literal, or "".
func text(e ast.Expr) string {
	if lit, ok := e.(*ast.BasicLit); ok && lit.Kind == token.STRING {
		if s, err := strconv.Unquote(lit.Value); err == nil {
			return s
		}
	}
	return ""
}

// identifiers are the names that the source uses for events.
var identifiers = readIdentifiers()

func readIdentifiers() map[Event]string {
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
	shownLine  = regexp.MustCompile(`(?m)^ {4}.*\bmsg=.*$`)
	shownMsg   = regexp.MustCompile(`\bmsg=("[^"]*"|[a-z]+)`)
	searched   = regexp.MustCompile(`^ {4}(grep|awk|sed) `)
	shownField = regexp.MustCompile(`(?:^| )([a-z_]+)=`)
	everywhere = []string{"ts", "level", "instance", "part", "domain", "msg"}
)

// TestLinesOfThePages looks at every line that a page shows.
func TestLinesOfThePages(t *testing.T) {
	shown := 0
	for _, path := range files(t, ".md", "docs") {
		raw, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range shownLine.FindAllString(string(raw), -1) {
			if searched.MatchString(line) {
				continue
			}
			e, err := Named(strings.Trim(shownMsg.FindStringSubmatch(line)[1], `"`))
			if err != nil {
				t.Errorf("%s: %v: %s", path, err, line)
				continue
			}
			shown++
			bare := regexp.MustCompile(`"[^"]*"`).ReplaceAllString(line, "")
			for _, f := range shownField.FindAllStringSubmatch(bare, -1) {
				if !slices.Contains(everywhere, f[1]) && !slices.Contains(e.Describe().Fields, f[1]) {
					t.Errorf("%s: %q has no field %s: %s", path, e, f[1], line)
				}
			}
		}
	}
	if shown < 6 {
		t.Errorf("%d lines found in pages", shown)
	}
}
