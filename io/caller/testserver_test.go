package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/claims"
	"monsoonfork/core/config"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/invariant"
	"monsoonfork/core/keys"
	"monsoonfork/core/placement"
	"monsoonfork/core/request"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
	"monsoonfork/io/httpcall"
	"monsoonfork/io/service"
	standin "monsoonfork/io/standin/engine"
	standinservice "monsoonfork/io/standin/service"
)

const testConfig = `Domains: [north]
Models:
  - {Name: summary, Version: v1, MinBytesPerToken: 2, BytesPerKVToken: 1000, MaxTokens: 4000}
Engines:
  - {Name: p1, Domain: north, Address: "P1", Role: Prefill, Models: [summary], Slots: 8, MemoryPieces: 2000, TokensPerPiece: 16, LinkBytesPerSecond: 1000000000, PrefillTokensPerSecond: 10000}
  - {Name: p2, Domain: north, Address: "P2", Role: Prefill, Models: [summary], Slots: 8, MemoryPieces: 2000, TokensPerPiece: 16, LinkBytesPerSecond: 1000000000, PrefillTokensPerSecond: 10000}
  - {Name: d1, Domain: north, Address: "D1", Role: Decode, Models: [summary], Slots: 20, MemoryPieces: 2000, TokensPerPiece: 16, LinkBytesPerSecond: 1000000000}
  - {Name: d2, Domain: north, Address: "D2", Role: Decode, Models: [summary], Slots: 20, MemoryPieces: 2000, TokensPerPiece: 16, LinkBytesPerSecond: 1000000000}
Services:
  - {Name: summaries, Kind: ModelService, Models: [summary]}
  - {Name: planning, Kind: PlainService, Endpoints: [{Name: s1, Domain: north, Address: "S1"}, {Name: s2, Domain: north, Address: "S2"}]}
Routes:
  - {Name: completions, Path: /v1/completions, Method: POST, Service: summaries, Idempotent: true, TimeoutMS: 30000}
  - {Name: chat, Path: /v1/chat/completions, Method: POST, Service: summaries, Idempotent: true, TimeoutMS: 30000}
  - {Name: book, Path: /bookings, Method: POST, Service: planning, TimeoutMS: 5000}
  - {Name: lookup, Path: /addresses/, Method: GET, Service: planning, Idempotent: true, TimeoutMS: 5000}
  - {Name: status, Path: /status, Service: planning, Access: Open, Idempotent: true, TimeoutMS: 5000}
  - {Name: rich, Path: /rich, Service: planning, Organisations: [other], Idempotent: true}
Organisations:
  - {Name: tuinhulp, RateTokensPerSecond: 5000, BurstTokens: 20000}
  - {Name: other, RateTokensPerSecond: 5000, BurstTokens: 20000}
Keys:
  - {Name: planner, Organisation: tuinhulp, Salt: SALT, Digest: DIGEST}
`

// testKey is an API key of the organisation tuinhulp, and testEntry its configuration
// entry.
var testKey, testEntry = keys.Generate("planner", "tuinhulp")

// testServer is a Server with stand-in engines and services, and with fakes of budget,
// placement and claims.
type testServer struct {
	t            testing.TB
	address      string
	server       *Server
	pipeline     *request.Pipeline
	prefill      []*standin.Engine
	decode       []*standin.Engine
	services     []*standinservice.Service
	holder       *config.Holder
	configText   string
	serverClosed bool // The test has closed the server itself.

	mu            sync.Mutex
	settledTokens []ident.Tokens
	admitErr      error // Returned by the budget unless nil.
	claims        map[string]*claims.Answer
}

// newTestServer starts a test server. Its clean-up fails the test if an invariant was
// violated meanwhile.
func newTestServer(t testing.TB, opts ...Option) *testServer {
	t.Helper()
	violationsBefore := invariant.Violations()
	configText := strings.NewReplacer("SALT", testEntry.Salt, "DIGEST", testEntry.Digest).Replace(testConfig)
	r := &testServer{t: t, configText: configText, claims: make(map[string]*claims.Answer)}
	for _, name := range []string{"P1", "P2"} {
		r.prefill = append(r.prefill, r.newEngine(name, standin.PrefillRole))
	}
	for _, name := range []string{"D1", "D2"} {
		r.decode = append(r.decode, r.newEngine(name, standin.DecodeRole))
	}
	for _, name := range []string{"S1", "S2"} {
		s := standinservice.New(standinservice.WithName(name), standinservice.WithProcessingTime(time.Millisecond))
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		r.services = append(r.services, s)
		r.setAddress(name, s.Address())
	}
	r.holder = config.NewHolder()
	r.applyConfig(1, r.configText)
	r.newPipeline()
	r.server = New(r.pipeline, log.NewNopLogger(), opts...)
	address, err := r.server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = string(address)
	t.Cleanup(func() {
		if !r.serverClosed {
			_ = r.server.Close()
		}
		r.pipeline.Close()
		if n := invariant.Violations() - violationsBefore; n > 0 {
			t.Errorf("%d invariants were violated", n)
		}
	})
	return r
}

// newEngine starts a stand-in engine.
func (r *testServer) newEngine(name string, role standin.Role) *standin.Engine {
	e := standin.New(standin.WithName(name), standin.WithRole(role), standin.WithModels("summary"),
		standin.WithPrefill(10_000, time.Millisecond), standin.WithInterToken(5*time.Millisecond, 0))
	if err := e.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = e.Close() })
	r.setAddress(name, e.Address())
	return e
}

// setAddress replaces the placeholder name by an address in the configuration.
func (r *testServer) setAddress(name, address string) {
	r.configText = strings.ReplaceAll(r.configText, `Address: "`+name+`"`, `Address: "`+address+`"`)
}

// applyConfig makes a configuration the current one.
func (r *testServer) applyConfig(revision ident.Revision, configText string) {
	r.t.Helper()
	parsed, err := text.ParseValid([]byte(configText))
	if err != nil {
		r.t.Fatal(err)
	}
	r.holder.Update(&config.Snapshot{Revision: revision, Raw: []byte(configText), Text: parsed, Received: time.Now()})
}

// newPipeline creates the request pipeline with fakes of budget, placement and claims.
func (r *testServer) newPipeline() {
	calls, err := httpcall.New()
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(calls.Close)
	engines := engine.New(calls, "holder-1")
	p := request.New("north", log.NewNopLogger())
	p.CurrentConfig = r.holder.Current
	verifier := keys.NewVerifier(r.holder)
	r.t.Cleanup(func() { _ = verifier.Close() })
	p.Verify = verifyFunc(verifier)
	p.Admit = func(_ context.Context, _ ident.OrganisationID, _ ident.Tokens) (func(ident.Tokens), error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.admitErr != nil {
			return nil, r.admitErr
		}
		return r.recordSettlement, nil
	}
	p.Place = r.placeOnFirstEngines
	p.Claim = r.claim
	p.Prefill, p.Decode, p.Abort = engines.Prefill, engines.Decode, engines.Abort
	p.Send = service.New(calls).Do
	r.pipeline = p
}

// recordSettlement records the tokens settled for a request.
func (r *testServer) recordSettlement(used ident.Tokens) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settledTokens = append(r.settledTokens, used)
}

// placeOnFirstEngines places an attempt on the first prefill engine and the first decode
// engine of the configuration that are not in q.Avoid.
func (r *testServer) placeOnFirstEngines(_ context.Context, q placement.Request) (*request.PlacedAttempt, error) {
	placed := &request.PlacedAttempt{ID: string(q.LeaseID()), PrefillDone: func() {}, Close: func(placement.Outcome) {}}
	found := map[text.EngineRole]bool{}
	for _, e := range r.holder.Current().Text.Engines {
		excluded := false
		for _, id := range q.Avoid {
			excluded = excluded || id == e.Name
		}
		if excluded || found[e.Role] {
			continue
		}
		found[e.Role] = true
		if e.Role == text.Prefill {
			placed.Prefill = e
		} else {
			placed.Decode = e
		}
	}
	if len(found) < 2 {
		return nil, fault.New(fault.NoEndpoint, "no engines left")
	}
	return placed, nil
}

// claim keeps claims in a map by idempotency key. A nil value is a claim without a
// recorded response.
func (r *testServer) claim(_ context.Context, c claims.Call) (*request.ClaimTicket, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	recorded, ok := r.claims[c.IdempotencyKey]
	if ok && recorded == nil {
		return nil, fault.New(fault.OutcomeUnknown, "an earlier call may have run")
	}
	if ok {
		return &request.ClaimTicket{Replay: recorded}, nil
	}
	r.claims[c.IdempotencyKey] = nil
	locked := func(f func()) {
		r.mu.Lock()
		defer r.mu.Unlock()
		f()
	}
	return &request.ClaimTicket{
		Complete: func(a claims.Answer) { locked(func() { r.claims[c.IdempotencyKey] = &a }) },
		Release:  func() { locked(func() { delete(r.claims, c.IdempotencyKey) }) },
		Abandon:  func() {},
	}, nil
}

// testResponse is a response that was read completely.
type testResponse struct {
	status    int
	header    http.Header
	body      string
	err       error // Error of the call or of reading the body.
	connClose bool  // The response has Connection: close.
}

// do sends a request with the API key. headers are name and value pairs; an empty value
// removes the header.
func (r *testServer) do(method, target, body string, headers ...string) testResponse {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+r.address+target, bytes.NewBufferString(body))
	if err != nil {
		r.t.Fatal(err)
	}
	q.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		q.Header.Del(headers[i])
		if headers[i+1] != "" {
			q.Header.Set(headers[i], headers[i+1])
		}
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(q)
	if err != nil {
		return testResponse{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	responseBody, err := io.ReadAll(res.Body)
	return testResponse{res.StatusCode, res.Header, string(responseBody), err, res.Close}
}

// errorDetail returns the error in a response.
func (r testResponse) errorDetail(t *testing.T) errorDetail {
	t.Helper()
	var body errorBody
	if err := json.Unmarshal([]byte(r.body), &body); err != nil {
		t.Fatalf("status %d, %v: not an error body: %q", r.status, r.err, r.body)
	}
	if r.header.Get(RanHeader) != body.Error.Ran {
		t.Errorf("%s is %q, the body has %q", RanHeader, r.header.Get(RanHeader), body.Error.Ran)
	}
	return body.Error
}

// parseStream returns the text of a streamed response, whether it ended with [DONE], and
// the type of its error event.
func (r testResponse) parseStream(t *testing.T) (completion string, done bool, errorType string) {
	t.Helper()
	for _, line := range strings.Split(r.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var event struct {
			Choices []responseChoice
			Error   errorDetail
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			t.Fatalf("event %q: %v", data, err)
		}
		errorType = event.Error.Type
		for _, c := range event.Choices {
			if c.Text != nil {
				completion += *c.Text
			}
			if c.Delta != nil {
				completion += c.Delta.Content
			}
		}
	}
	return completion, done, errorType
}

// expectedText returns the text that the stand-in engines generate for a prompt.
func expectedText(prompt string, n int) string {
	return standin.ExpectedText(standin.WordsPrompt(prompt), n)
}

// eventually waits until done returns true and fails the test after timeout.
func eventually(t *testing.T, what string, timeout time.Duration, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", what, timeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// enginesIdle reports whether all requests at all engines have ended.
func (r *testServer) enginesIdle() bool {
	for _, e := range append(append([]*standin.Engine(nil), r.prefill...), r.decode...) {
		for _, q := range e.Record().Requests {
			if q.EndedUnixMS == 0 {
				return false
			}
		}
	}
	return true
}

func itoa(n int) string { return strconv.Itoa(n) }

func contextWithTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}
