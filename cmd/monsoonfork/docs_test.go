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

// Paths of pages, and the markers of examples in them.
const (
	root          = "../../"
	operatorsPage = root + "docs/operators.md"
	examplesDir   = root + "docs/examples"
	runMarker     = "<!-- run -->\n```console\n"
	endMarker     = "```\n<!-- end -->\n"
	prompt        = "$ "
)

// exampleAddress is the operator address in the examples of pages.
const exampleAddress = "127.0.0.1:8082"

// pages returns the paths of all pages of the documentation.
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

// TestPageExamples runs the commands shown in each page in their order, and compares
// their output with the output shown.
func TestPageExamples(t *testing.T) {
	t.Setenv("COLUMNS", "80")
	for _, page := range pages(t) {
		raw, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(raw), runMarker) {
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
				t.Errorf("%s is out of date; run go test ./cmd/monsoonfork -update. Expected:\n%s", page, want)
			}
		})
	}
}

// runExamples returns a page with the current output of all its examples.
func runExamples(t *testing.T, page string) string {
	t.Helper()
	address := startDaemons(t)
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(page, runMarker)
		out.WriteString(before)
		if !found {
			return out.String()
		}
		block, after, ended := strings.Cut(rest, endMarker)
		if !ended {
			t.Fatalf("no end marker after the block %.80q", rest)
		}
		out.WriteString(runMarker)
		for line := range strings.Lines(block) {
			if command, ok := strings.CutPrefix(line, prompt); ok {
				out.WriteString(line + runExample(t, strings.TrimSpace(command), address))
			}
		}
		out.WriteString(endMarker)
		page = after
	}
}

// runExample runs one command of a page in examplesDir and returns its output.
func runExample(t *testing.T, command, address string) string {
	t.Helper()
	previousDir, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Chdir(examplesDir); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = os.Chdir(previousDir) }()
	if file, ok := strings.CutPrefix(command, "cat "); ok {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	printed := runCommand(strings.ReplaceAll(command, exampleAddress, address))
	if strings.Contains(command, " apply ") {
		waitReady(t, address)
	}
	return strings.ReplaceAll(printed, address, exampleAddress)
}

// readyTimeout is the time within which a daemon must become ready once it has a
// configuration text.
const readyTimeout = 10 * time.Second

// waitReady waits until a daemon that has a configuration text reports that it is ready.
func waitReady(t *testing.T, address string) {
	t.Helper()
	end := time.Now().Add(readyTimeout)
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
			t.Fatalf("/readyz: status %d after %v", res.StatusCode, readyTimeout)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// startDaemons starts a stand-in store and a daemon in each failure domain of the
// examples, and returns the operator address of the first daemon.
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

// startDaemon starts one daemon in the test process.
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

// TestErrorKindTable compares the table of error kinds in the operators' page with core/fault.
func TestErrorKindTable(t *testing.T) {
	raw, err := os.ReadFile(operatorsPage)
	if err != nil {
		t.Fatal(err)
	}
	const begin, end = "<!-- kinds: begin -->\n", "<!-- kinds: end -->\n"
	before, rest, found := strings.Cut(string(raw), begin)
	_, after, ended := strings.Cut(rest, end)
	if !found || !ended {
		t.Fatal("the page lacks the markers of the table of error kinds")
	}
	want := before + begin + errorKindTable(t) + end + after
	if *update {
		if err := os.WriteFile(operatorsPage, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if want != string(raw) {
		t.Error("the table of error kinds is out of date; run go test ./cmd/monsoonfork -update")
	}
}

// errorKindTable returns the Markdown table of error kinds.
func errorKindTable(t *testing.T) string {
	t.Helper()
	comments := errorKindComments(t)
	ranTexts := map[fault.Ran]string{fault.NotRun: "not run", fault.MayHaveRun: "may have run", fault.DidRun: "ran"}
	var out strings.Builder
	out.WriteString("| kind | type | status | ran | meaning |\n| --- | --- | --- | --- | --- |\n")
	for _, k := range fault.Kinds() {
		a := fault.ResponseFor(k)
		fmt.Fprintf(&out, "| `%s` | `%s` | %d | %s | %s |\n", k, a.Type, a.Status, ranTexts[a.Ran], comments[k.String()])
	}
	return out.String()
}

// errorKindComments returns the line comment of each error kind in core/fault, by its name.
func errorKindComments(t *testing.T) map[string]string {
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

// metricRow matches a row of the table of metrics.
var metricRow = regexp.MustCompile("(?m)^\\| `([A-Za-z.]+)` \\| (?:counter|timer|gauge) \\|")

// TestMetricsTable checks that the operators' page lists exactly the metrics that a
// daemon exports.
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
	// A daemon that runs as a separate process exports these metrics in the same registry.
	metrics.DefaultRegistry.Each(func(name string, _ any) { found[name] = nil })
	for name := range found {
		if !named[name] {
			t.Errorf("the page does not list metric %s", name)
		}
	}
	for name := range named {
		if _, ok := found[name]; !ok {
			t.Errorf("the page lists metric %s, which does not exist", name)
		}
	}
}

// TestEachPackageHasReadme checks that each directory with Go files has a README.md.
func TestEachPackageHasReadme(t *testing.T) {
	var missing []string
	err := filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") {
			return err
		}
		dir := filepath.Dir(path)
		if _, err := os.Stat(filepath.Join(dir, "README.md")); err != nil && !slices.Contains(missing, dir) {
			missing = append(missing, dir)
		}
		return nil
	})
	if err != nil || len(missing) > 0 {
		t.Errorf("no README.md in %v, %v", missing, err)
	}
}

// mentionedPath matches a path of the repository that a page mentions.
var mentionedPath = regexp.MustCompile("`((?:cmd|core|io|lab|docs)/[A-Za-z0-9_/.-]+?)(?:/?)`")

// pageLink matches a link from one page to another.
var pageLink = regexp.MustCompile(`\]\(([A-Za-z0-9_/.-]+)\)`)

// TestReadmeLinksEveryPage checks that README.md links to every page under docs/.
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

// TestPagePathsAndLinksExist checks that the paths and links in pages exist.
func TestPagePathsAndLinksExist(t *testing.T) {
	for _, page := range pages(t) {
		raw, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range mentionedPath.FindAllStringSubmatch(string(raw), -1) {
			path := strings.TrimSuffix(match[1], "/...")
			if _, err := os.Stat(root + path); err != nil {
				t.Errorf("%s mentions %s: %v", page, match[1], err)
			}
		}
		for _, match := range pageLink.FindAllStringSubmatch(string(raw), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(page), match[1])); err != nil {
				t.Errorf("%s links to %s: %v", page, match[1], err)
			}
		}
	}
}
