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
	plain "monsoonfork/io/standin/service"
)

const testPlan = `Domains: [north]
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

// testKey is the key of the organisation tuinhulp, and testEntry its entry.
var testKey, testEntry = keys.Generate("planner", "tuinhulp")

// rig is a server with stand-ins behind it.
type rig struct {
	t        testing.TB
	address  string
	server   *Server
	path     *request.Pipeline
	prefill  []*standin.Engine
	decode   []*standin.Engine
	services []*plain.Service
	holder   *config.Holder
	raw      string
	closed   bool // The test has closed the server.

	mu      sync.Mutex
	settled []ident.Tokens
	admit   error // What the budget answers.
	claims  map[string]*claims.Answer
}

// newRig starts a rig.
func newRig(t testing.TB, opts ...Option) *rig {
	t.Helper()
	before := invariant.Violations()
	raw := strings.NewReplacer("SALT", testEntry.Salt, "DIGEST", testEntry.Digest).Replace(testPlan)
	r := &rig{t: t, raw: raw, claims: make(map[string]*claims.Answer)}
	for _, name := range []string{"P1", "P2"} {
		r.prefill = append(r.prefill, r.newEngine(name, standin.PrefillRole))
	}
	for _, name := range []string{"D1", "D2"} {
		r.decode = append(r.decode, r.newEngine(name, standin.DecodeRole))
	}
	for _, name := range []string{"S1", "S2"} {
		s := plain.New(plain.WithName(name), plain.WithRunTime(time.Millisecond))
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = s.Close() })
		r.services = append(r.services, s)
		r.place(name, s.Address())
	}
	r.holder = config.NewHolder()
	r.offer(1, r.raw)
	r.newPath()
	r.server = New(r.path, log.NewNopLogger(), opts...)
	address, err := r.server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = string(address)
	t.Cleanup(func() {
		if !r.closed {
			_ = r.server.Close()
		}
		r.path.Close()
		if n := invariant.Violations() - before; n > 0 {
			t.Errorf("%d invariants were violated", n)
		}
	})
	return r
}

// newEngine starts a stand-in engine.
func (r *rig) newEngine(name string, role standin.Role) *standin.Engine {
	e := standin.New(standin.WithName(name), standin.WithRole(role), standin.WithModels("summary"),
		standin.WithPrefill(10_000, time.Millisecond), standin.WithInterToken(5*time.Millisecond, 0))
	if err := e.Start(); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = e.Close() })
	r.place(name, e.Address())
	return e
}

// place sets an address in the text.
func (r *rig) place(name, address string) {
	r.raw = strings.ReplaceAll(r.raw, `Address: "`+name+`"`, `Address: "`+address+`"`)
}

// offer makes a text the newest.
func (r *rig) offer(revision ident.Revision, raw string) {
	r.t.Helper()
	parsed, err := text.ParseValid([]byte(raw))
	if err != nil {
		r.t.Fatal(err)
	}
	r.holder.Offer(&config.Snapshot{Revision: revision, Raw: []byte(raw), Text: parsed, Received: time.Now()})
}

// newPath makes the way of requests, with simple decisions.
func (r *rig) newPath() {
	calls, err := httpcall.New()
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(calls.Close)
	engines := engine.New(calls, "holder-1")
	p := request.New("north", log.NewNopLogger())
	p.CurrentConfig = r.holder.Current
	table := keys.NewVerifier(r.holder)
	r.t.Cleanup(func() { _ = table.Close() })
	p.Verify = verifyBy(table)
	p.Admit = func(_ context.Context, _ ident.OrganisationID, _ ident.Tokens) (func(ident.Tokens), error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.admit != nil {
			return nil, r.admit
		}
		return r.settle, nil
	}
	p.Place = r.placeRequest
	p.Claim = r.claim
	p.Prefill, p.Decode, p.Abort = engines.Prefill, engines.Decode, engines.Abort
	p.Send = service.New(calls).Do
	r.path = p
}

// settle records what was settled.
func (r *rig) settle(used ident.Tokens) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settled = append(r.settled, used)
}

// placeRequest takes the first engines that are not avoided.
func (r *rig) placeRequest(_ context.Context, q placement.Request) (*request.PlacedAttempt, error) {
	placed := &request.PlacedAttempt{ID: string(q.LeaseID()), PrefillDone: func() {}, Close: func(placement.Outcome) {}}
	found := map[text.EngineRole]bool{}
	for _, e := range r.holder.Current().Text.Engines {
		avoid := false
		for _, id := range q.Avoid {
			avoid = avoid || id == e.Name
		}
		if avoid || found[e.Role] {
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

// claim keeps claims in a map. A nil answer is a claim that is not finished.
func (r *rig) claim(_ context.Context, c claims.Call) (*request.ClaimTicket, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.claims[c.IdempotencyKey]
	if ok && old == nil {
		return nil, fault.New(fault.OutcomeUnknown, "an earlier call may have run")
	}
	if ok {
		return &request.ClaimTicket{Replay: old}, nil
	}
	r.claims[c.IdempotencyKey] = nil
	change := func(f func()) {
		r.mu.Lock()
		defer r.mu.Unlock()
		f()
	}
	return &request.ClaimTicket{
		Complete: func(a claims.Answer) { change(func() { r.claims[c.IdempotencyKey] = &a }) },
		Release:  func() { change(func() { delete(r.claims, c.IdempotencyKey) }) },
		Abandon:  func() {},
	}, nil
}

// response is an answer that was read whole.
type response struct {
	status int
	header http.Header
	body   string
	err    error // Of reading the body.
	close  bool  // The server ends the connection.
}

// do sends a request with the key, unless headers say otherwise.
func (r *rig) do(method, target, body string, headers ...string) response {
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
	answer, err := client.Do(q)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	whole, err := io.ReadAll(answer.Body)
	return response{answer.StatusCode, answer.Header, string(whole), err, answer.Close}
}

// failure returns the error of an answer.
func (r response) failure(t *testing.T) errorDetail {
	t.Helper()
	var body errorBody
	if err := json.Unmarshal([]byte(r.body), &body); err != nil {
		t.Fatalf("status %d, %v: not an error body: %q", r.status, r.err, r.body)
	}
	if r.header.Get(RanHeader) != body.Error.Ran {
		t.Errorf("%s says %q, the body %q", RanHeader, r.header.Get(RanHeader), body.Error.Ran)
	}
	return body.Error
}

// streamed returns the text of a streamed answer, whether it was marked as
// whole, and the type of its error event.
func (r response) streamed(t *testing.T) (answer string, done bool, errorType string) {
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
			Choices []answerChoice
			Error   errorDetail
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			t.Fatalf("event %q: %v", data, err)
		}
		errorType = event.Error.Type
		for _, c := range event.Choices {
			if c.Text != nil {
				answer += *c.Text
			}
			if c.Delta != nil {
				answer += c.Delta.Content
			}
		}
	}
	return answer, done, errorType
}

// expected returns the right answer.
func expected(prompt string, n int) string {
	return standin.ExpectedText(standin.WordsPrompt(prompt), n)
}

// eventually waits until done reports true.
func eventually(t *testing.T, what string, within time.Duration, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(within)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", what, within)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// enginesAreFree reports whether no engine holds anything.
func (r *rig) enginesAreFree() bool {
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
