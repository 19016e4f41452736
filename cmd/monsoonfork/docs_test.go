package main

import (
	"context"
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/kernel"
	"monsoonfork/core/settings"
	"monsoonfork/io/standin/store"
	"monsoonfork/lab/process"
)

// Pages and marks.
const (
	root          = "../../"
	operatorsPage = root + "docs/operators.md"
	examplesDir   = root + "docs/examples"
	runMark       = "<!-- run -->\n```console\n"
	endMark       = "```\n<!-- end -->\n"
	prompt        = "$ "
)

// shownAddress is the operator address that pages show.
const shownAddress = "127.0.0.1:8082"

// pages lists all pages of the documentation.
func pages(t *testing.T) []string {
	t.Helper()
	var all []string
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/design/*.md"} {
		found, err := filepath.Glob(root + pattern)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, found...)
	}
	return all
}

// TestExamplesOfPages runs the commands that pages show, in the order of the
// page, and compares what they print.
func TestPageExamples(t *testing.T) {
	t.Setenv("COLUMNS", "80")
	for _, page := range pages(t) {
		raw, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(raw), runMark) {
			continue
		}
		t.Run(filepath.Base(page), func(t *testing.T) {
			want := runExamples(t, string(raw))
			if *update {
				if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
					t.Fatal(err)
				}
				return
			}
			if want != string(raw) {
				t.Errorf("%s is not current; run go test ./cmd/monsoonfork -update. It would be:\n%s", page, want)
			}
		})
	}
}

// runExamples returns a page with all outputs written anew.
func runExamples(t *testing.T, page string) string {
	t.Helper()
	address := startDaemons(t)
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(page, runMark)
		out.WriteString(before)
		if !found {
			return out.String()
		}
		block, after, ended := strings.Cut(rest, endMark)
		if !ended {
			t.Fatalf("no end of the block %.80q", rest)
		}
		out.WriteString(runMark)
		for line := range strings.Lines(block) {
			if command, ok := strings.CutPrefix(line, prompt); ok {
				out.WriteString(line + runExample(t, strings.TrimSpace(command), address))
			}
		}
		out.WriteString(endMark)
		page = after
	}
}

// runExample runs one command of a page in the directory of the examples.
func runExample(t *testing.T, command, address string) string {
	t.Helper()
	back, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Chdir(examplesDir); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = os.Chdir(back) }()
	if file, ok := strings.CutPrefix(command, "cat "); ok {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	printed := runCommand(strings.ReplaceAll(command, shownAddress, address))
	if strings.Contains(command, " apply ") {
		waitReady(t, address)
	}
	return strings.ReplaceAll(printed, address, shownAddress)
}

// readyBound is how long a daemon may take to become ready with a text.
const readyBound = 10 * time.Second

// waitReady waits until a daemon with a text says that it is ready.
func waitReady(t *testing.T, address string) {
	t.Helper()
	end := time.Now().Add(readyBound)
	for {
		res, err := http.Get("http://" + address + "/readyz")
		if err != nil {
			t.Fatal(err)
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("/readyz: status %d after %v", res.StatusCode, readyBound)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startDaemons starts a daemon in each failure domain of the examples, with a
// stand-in store, and returns the operator address of the first.
func startDaemons(t *testing.T) string {
	t.Helper()
	s := store.New()
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	first := startDaemon(t, "entry-1", "north", s.Address(), "")
	startDaemon(t, "entry-2", "south", s.Address(), first.Settings.PeerAddress)
	return string(first.Settings.OperatorAddress)
}

// startDaemon starts one daemon in this process.
func startDaemon(t *testing.T, name string, domain ident.DomainID, store string, peer ident.Address) *kernel.Node {
	t.Helper()
	cfg := &settings.Settings{
		Name: name, Domain: domain, HeartbeatMS: 100,
		PeerAddress: freeAddress(t), CallerAddress: freeAddress(t), OperatorAddress: freeAddress(t),
		StoreAddresses: []ident.Address{ident.Address(store)},
	}
	if peer != "" {
		cfg.FirstPeers = []ident.Address{peer}
	}
	n := kernel.NewNode(cfg, log.NewNopLogger())
	n.Metrics = metrics.NewRegistry()
	if err := n.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n
}

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) ident.Address {
	t.Helper()
	address, err := process.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return ident.Address(address)
}

// TestErrorKindsOfThePage checks the table of error kinds against core/fault.
func TestErrorKindTable(t *testing.T) {
	raw, err := os.ReadFile(operatorsPage)
	if err != nil {
		t.Fatal(err)
	}
	const begin, end = "<!-- kinds: begin -->\n", "<!-- kinds: end -->\n"
	before, rest, found := strings.Cut(string(raw), begin)
	_, after, ended := strings.Cut(rest, end)
	if !found || !ended {
		t.Fatal("the page lacks the marks of the error kinds")
	}
	want := before + begin + kindsTable(t) + end + after
	if *update {
		if err := os.WriteFile(operatorsPage, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if want != string(raw) {
		t.Error("the table of error kinds is not current; run go test ./cmd/monsoonfork -update")
	}
}

// kindsTable returns the table of error kinds in Markdown.
func kindsTable(t *testing.T) string {
	t.Helper()
	comments := kindComments(t)
	words := map[fault.Ran]string{fault.NotRun: "not run", fault.MayHaveRun: "may have run", fault.DidRun: "ran"}
	var out strings.Builder
	out.WriteString("| kind | type | status | ran | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, k := range fault.Kinds() {
		a := fault.AnswerFor(k)
		fmt.Fprintf(&out, "| `%s` | `%s` | %d | %s | %s |\n", k, a.Type, a.Status, words[a.Ran], comments[k.String()])
	}
	return out.String()
}

// kindComments returns the comments behind the error kinds.
func kindComments(t *testing.T) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), root+"core/fault/kind.go", nil, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	comments := make(map[string]string)
	ast.Inspect(file, func(n ast.Node) bool {
		if v, ok := n.(*ast.ValueSpec); ok {
			comments[v.Names[0].Name] = strings.TrimSpace(v.Comment.Text())
		}
		return true
	})
	return comments
}

// metricRow is a row of the table of metrics.
var metricRow = regexp.MustCompile("(?m)^\\| `([A-Za-z.]+)` \\| (?:counter|timer|gauge) \\|")

// TestMetricsOfThePage checks that the page names all metrics of a daemon and no
// others.
func TestMetricsTable(t *testing.T) {
	raw, err := os.ReadFile(operatorsPage)
	if err != nil {
		t.Fatal(err)
	}
	named := make(map[string]bool)
	for _, match := range metricRow.FindAllStringSubmatch(string(raw), -1) {
		named[match[1]] = true
	}
	response, err := http.Get("http://" + startDaemons(t) + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	found := make(map[string]json.RawMessage)
	if err := json.NewDecoder(response.Body).Decode(&found); err != nil {
		t.Fatal(err)
	}
	// A daemon of its own process has these in the same registry.
	metrics.DefaultRegistry.Each(func(name string, _ any) { found[name] = nil })
	for name := range found {
		if !named[name] {
			t.Errorf("the page does not name %s", name)
		}
	}
	for name := range named {
		if _, ok := found[name]; !ok {
			t.Errorf("there is no metric %s", name)
		}
	}
}

// TestReadmeInEachPackage checks that each directory with Go files says why it
// exists.
func TestEachPackageHasReadme(t *testing.T) {
	var lacking []string
	err := filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") {
			return err
		}
		dir := filepath.Dir(path)
		if _, err := os.Stat(filepath.Join(dir, "README.md")); err != nil && !slices.Contains(lacking, dir) {
			lacking = append(lacking, dir)
		}
		return nil
	})
	if err != nil || len(lacking) > 0 {
		t.Errorf("no README.md in %v, %v", lacking, err)
	}
}

// mentioned matches paths of the tree in pages.
var mentionedPath = regexp.MustCompile("`((?:cmd|core|io|lab|docs)/[A-Za-z0-9_/.-]+?)(?:/?)`")

// linked matches links between pages.
var pageLink = regexp.MustCompile(`\]\(([A-Za-z0-9_/.-]+)\)`)

// TestReadmeLinksAllPages checks that a newcomer finds every page.
func TestReadmeLinksEveryPage(t *testing.T) {
	raw, err := os.ReadFile(root + "README.md")
	if err != nil {
		t.Fatal(err)
	}
	found, err := filepath.Glob(root + "docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range found {
		if link := "](docs/" + filepath.Base(page) + ")"; !strings.Contains(string(raw), link) {
			t.Errorf("README.md does not link to %s", page)
		}
	}
}

// TestPagesNameWhatExists checks that paths and links in pages lead somewhere.
func TestPagePathsAndLinksExist(t *testing.T) {
	for _, page := range pages(t) {
		raw, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range mentionedPath.FindAllStringSubmatch(string(raw), -1) {
			path := strings.TrimSuffix(match[1], "/...")
			if _, err := os.Stat(root + path); err != nil {
				t.Errorf("%s names %s: %v", page, match[1], err)
			}
		}
		for _, match := range pageLink.FindAllStringSubmatch(string(raw), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), match[1])); err != nil {
				t.Errorf("%s links to %s: %v", page, match[1], err)
			}
		}
	}
}
