package verb

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/kernel"
	"monsoonfork/core/orders"
	"monsoonfork/core/settings"
	"monsoonfork/io/operator"
	"monsoonfork/io/standin/control"
	standin "monsoonfork/io/standin/store"
	"monsoonfork/lab/process"
)

// daemon is a daemon in the test process, with a stand-in store.
type daemon struct {
	address ident.Address
	store   *standin.Store
}

func startDaemon(t *testing.T) *daemon {
	t.Helper()
	d := &daemon{store: standin.New(), address: freeAddress(t)}
	if err := d.store.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = d.store.Close() })
	n := kernel.NewNode(&settings.Settings{
		Name: "north-1", Domain: "north", HeartbeatMS: 100,
		PeerAddress: freeAddress(t), CallerAddress: freeAddress(t), OperatorAddress: d.address,
		StoreAddresses: []ident.Address{ident.Address(d.store.Address())},
	}, log.NewNopLogger())
	n.Metrics = metrics.NewRegistry()
	if err := n.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return d
}

func freeAddress(t *testing.T) ident.Address {
	t.Helper()
	address, err := process.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return ident.Address(address)
}

// run runs a verb and returns its exit code and its outputs.
func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Main(args, &o, &e)
	return code, o.String(), e.String()
}

// textFile writes a configuration text with the given domains to a file and returns its path.
func textFile(t *testing.T, domains string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fleet.yaml")
	if err := os.WriteFile(path, []byte("Domains: ["+domains+"]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// mustRun runs a verb, requires that it succeeds, and checks that its output contains
// all words.
func mustRun(t *testing.T, words []string, args ...string) string {
	t.Helper()
	code, out, errOut := run(args...)
	if code != exitOK {
		t.Fatalf("%v: exit %d: %s%s", args, code, out, errOut)
	}
	for _, w := range words {
		if !strings.Contains(out, w) {
			t.Errorf("%v: output lacks %q:\n%s", args, w, out)
		}
	}
	return out
}

// mustFail runs a verb, requires that it fails, and checks that its error output
// contains all words.
func mustFail(t *testing.T, words []string, args ...string) {
	t.Helper()
	code, out, errOut := run(args...)
	if code == exitOK {
		t.Fatalf("%v succeeded: %s", args, out)
	}
	for _, w := range words {
		if !strings.Contains(errOut, w) {
			t.Errorf("%v: errors lack %q:\n%s", args, w, errOut)
		}
	}
}

// get sends a GET request to the operator address and returns the status and the body.
func (d *daemon) get(t *testing.T, path string) (int, string) {
	t.Helper()
	res, err := http.Get("http://" + string(d.address) + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(body)
}

// readyTimeout is the time within which a daemon must become ready once it has a
// configuration text.
const readyTimeout = 10 * time.Second

// waitReady waits until the daemon reports that it is ready.
func (d *daemon) waitReady(t *testing.T) {
	t.Helper()
	end := time.Now().Add(readyTimeout)
	for {
		code, body := d.get(t, "/readyz")
		if code == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("/readyz: %d %s", code, body)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestPlanApplyAndStatus(t *testing.T) {
	d := startDaemon(t)
	at := []string{"--operator", string(d.address)}
	verb := func(args ...string) []string { return append(args, at...) }

	if code, body := d.get(t, "/readyz"); code != http.StatusServiceUnavailable || !strings.Contains(body, "no configuration text") {
		t.Errorf("/readyz without a text: %d %s", code, body)
	}
	mustRun(t, []string{"none yet", "not ready"}, verb("status")...)
	mustFail(t, []string{"there is no text yet"}, verb("text")...)

	first, second := textFile(t, "north"), textFile(t, "north, south")
	mustRun(t, []string{"revision 0", "+ Domains north", "--base 0"}, verb("plan", first)...)
	mustRun(t, []string{"Accepted: revision 1", "In force everywhere: 1 instance in 1 domain."}, verb("apply", first, "--base", "0")...)
	if code, body := d.get(t, "/readyz"); code != http.StatusServiceUnavailable || !strings.Contains(body, "minting slots") {
		t.Errorf("/readyz before slots are minted for the domain: %d %s", code, body)
	}
	d.waitReady(t)
	mustRun(t, []string{"+ Domains south", "--base 1"}, verb("plan", second)...)
	mustRun(t, []string{"Accepted: revision 2", "Not heard from: domain south"},
		verb("apply", second, "--base", "1", "--wait", "500ms")...)
	mustRun(t, []string{"Domains: [north, south]"}, verb("text")...)
	mustRun(t, []string{"Revision    2", "not heard from", "north-1", "Live"}, verb("status")...)

	mustFail(t, []string{"RevisionConflict", "revision 2", "based on 1", "-    1  Domains: [north, south]"},
		verb("apply", first, "--base", "1")...)
	mustRun(t, []string{"Accepted: revision 3"}, verb("apply", first, "--wait", "0s")...)
}

func TestJSONOutput(t *testing.T) {
	d := startDaemon(t)
	file := textFile(t, "north")
	var applied applyAnswer
	out := mustRun(t, nil, "apply", file, "--json", "--edit", "edit-7", "--operator", string(d.address))
	if err := json.Unmarshal([]byte(out), &applied); err != nil || applied.Accepted.EditID != "edit-7" || !applied.InForce {
		t.Errorf("apply --json: %v: %s", err, out)
	}
	d.waitReady(t)
	var s operator.Status
	out = mustRun(t, nil, "status", "--json", "--operator", string(d.address))
	if err := json.Unmarshal([]byte(out), &s); err != nil || s.Config.Revision != 1 || !s.Ready {
		t.Errorf("status --json: %v: %s", err, out)
	}
	var p operator.Plan
	out = mustRun(t, nil, "plan", textFile(t, "south"), "--json", "--operator", string(d.address))
	if err := json.Unmarshal([]byte(out), &p); err != nil || len(p.Changes) != 2 {
		t.Errorf("plan --json: %v: %s", err, out)
	}
	out = mustRun(t, nil, "dump", "--role", "Config", "--operator", string(d.address))
	if !json.Valid([]byte(out)) || !strings.Contains(out, `"EditID": "edit-7"`) {
		t.Errorf("dump: %s", out)
	}
	mustFail(t, []string{"no role"}, "dump", "--role", "Nothing", "--operator", string(d.address))
	for _, path := range []string{"/metrics", "/dump"} {
		if code, body := d.get(t, path); code != http.StatusOK || !json.Valid([]byte(body)) {
			t.Errorf("%s: %d %.80s", path, code, body)
		}
	}
}

func TestInvalidTexts(t *testing.T) {
	d := startDaemon(t)
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	if err := os.WriteFile(bad, []byte("Domains: []\nEngnes: []\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	want := []string{"line 1: Domains: no failure domain", "line 2: Engnes", "write Engines", "2 problems"}
	mustFail(t, want, "check", bad)
	mustFail(t, want, "plan", bad, "--operator", string(d.address))
	mustFail(t, want, "apply", bad, "--operator", string(d.address))
	mustFail(t, []string{"cannot read"}, "check", filepath.Join(t.TempDir(), "absent.yaml"))
	mustFail(t, []string{"not an edit id"}, "apply", textFile(t, "north"), "--edit", "a/b", "--operator", string(d.address))
	mustFail(t, []string{"no answer from"}, "status", "--operator", string(freeAddress(t)))
}

// TestInvalidCalls sends invalid requests to the operator address, which no client of
// this program sends.
func TestInvalidCalls(t *testing.T) {
	d := startDaemon(t)
	post := func(path string, body io.Reader) (int, string) {
		res, err := http.Post("http://"+string(d.address)+path, "application/yaml", body)
		if err != nil {
			return 0, err.Error()
		}
		defer func() { _ = res.Body.Close() }()
		raw, _ := io.ReadAll(res.Body)
		return res.StatusCode, string(raw)
	}
	tests := []struct {
		path, body string
		kind       fault.Kind
		wantText   string
	}{
		{"/apply", "Domains: [a]\n", fault.BadRequest, "is not a revision"},
		{"/apply?base=-1&edit=e", "Domains: [a]\n", fault.BadRequest, "is not a revision"},
		{"/apply?base=1.5&edit=e", "Domains: [a]\n", fault.BadRequest, "is not a revision"},
		{"/apply?base=99999999999999999999&edit=e", "Domains: [a]\n", fault.BadRequest, "is not a revision"},
		{"/apply?base=0", "Domains: [a]\n", fault.BadRequest, "not an edit id"},
		{"/apply?base=5&edit=e1", "Domains: [a]\n", fault.RevisionConflict, "use base 0"},
		{"/apply?base=0&edit=e2", "Domains: []\n", fault.BadText, "no failure domain"},
		{"/apply?base=0&edit=e3", "\x00\xff", fault.BadText, "not YAML"},
		{"/faults", "{}", fault.NotFound, "no call POST /faults"},
		{"/nothing", "", fault.NotFound, "no call POST /nothing"},
		{"/status", "", fault.NotFound, "no call POST /status"},
	}
	for _, test := range tests {
		status, body := post(test.path, strings.NewReader(test.body))
		var answer operator.ErrorResponse
		err := json.Unmarshal([]byte(body), &answer)
		if err != nil || status != fault.ResponseFor(test.kind).Status || answer.Kind != test.kind.String() {
			t.Errorf("POST %s: %d %s, want %v", test.path, status, body, test.kind)
		}
		if answer.Ran != fault.NotRun.String() || !strings.Contains(body, test.wantText) {
			t.Errorf("POST %s: %s, want NotRun and %q", test.path, body, test.wantText)
		}
	}
	if status, body := post("/plan", bytes.NewReader(make([]byte, 4<<20))); status == http.StatusOK {
		t.Errorf("a body of 4 MB was accepted: %s", body)
	}
	if status, body := d.get(t, "/livez"); status != http.StatusOK {
		t.Errorf("/livez afterwards: %d %s", status, body)
	}
}

// TestApplyWhileStoreRefuses checks that, while the store refuses all calls, an edit is
// reported as not accepted within 14 s, and the text in force can still be read.
func TestApplyWhileStoreRefuses(t *testing.T) {
	d := startDaemon(t)
	mustRun(t, nil, "apply", textFile(t, "north"), "--operator", string(d.address))
	if err := d.store.Inject(control.Fault{Kind: control.Refuse}); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	mustFail(t, []string{"StoreUnavailable", "was not accepted"}, "apply", textFile(t, "south"), "--base", "1", "--operator", string(d.address))
	if elapsed := time.Since(start); elapsed > 14*time.Second {
		t.Errorf("the refusal took %v", elapsed)
	}
	mustRun(t, []string{"Domains: [north]"}, "text", "--operator", string(d.address))
	mustRun(t, []string{"Revision    1"}, "status", "--operator", string(d.address))
}

func TestHelpVerb(t *testing.T) {
	out := mustRun(t, []string{"serve", "apply", "Engine"}, "help")
	if again := mustRun(t, nil, "help", "topics"); again != out {
		t.Error("help and help topics differ")
	}
	for _, e := range verbTable() {
		mustRun(t, []string{"Usage: monsoonfork " + e.name}, "help", "verb", e.name)
	}
	mustRun(t, []string{"### Engine", "`ChecksFencing`"}, "help", "type", "engine")
	mustRun(t, []string{"Config", "Operator"}, "help", "roles")
	mustFail(t, []string{"no verb"}, "help", "verb", "nothing")
	mustFail(t, []string{"no type"}, "help", "type", "nothing")
	mustFail(t, nil, "nothing")
}

func TestKeyNew(t *testing.T) {
	out := mustRun(t, []string{"mf_planner_", "Organisation: tuinhulp", "Digest: "}, "key", "new", "planner", "--organisation", "tuinhulp")
	if again := mustRun(t, nil, "key", "new", "planner", "--organisation", "tuinhulp"); again == out {
		t.Error("two keys are the same")
	}
	var k keyAnswer
	out = mustRun(t, nil, "key", "new", "planner", "--organisation", "tuinhulp", "--json")
	if err := json.Unmarshal([]byte(out), &k); err != nil || k.Entry.Name != "planner" {
		t.Errorf("key new --json: %v: %s", err, out)
	}
	for _, name := range []string{"a b", "", strings.Repeat("x", 100)} {
		mustFail(t, []string{"is not a name"}, "key", "new", name, "--organisation", "tuinhulp")
	}
	mustFail(t, nil, "key", "new", "planner")
}

func TestStatusListsDifferingEngines(t *testing.T) {
	s := orders.Status{Controller: true, Fencing: 7, Engines: []orders.EngineStatus{
		{Engine: "decode-1", Phase: orders.Agreed},
		{Engine: "decode-2", Phase: orders.Waiting, Reason: "decode-1 changes its version first"},
	}}
	if got, want := orderSummary(s), "given by this instance, fencing number 7; 1 of 2 engines agree with the text"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	var out bytes.Buffer
	printDiffering(&out, s)
	if got := out.String(); !strings.Contains(got, "decode-2  Waiting  decode-1 changes its version first") || strings.Contains(got, "decode-1  ") {
		t.Errorf("got %q", got)
	}
}
