package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// fixture is a dispatcher with a clock that the test advances.
type fixture struct {
	*Dispatcher
	t      *testing.T
	clock  time.Time
	lastID int
}

var testModel = text.Model{Name: "m", BytesPerKVToken: 1000}

// newFixture returns a dispatcher with one prefill engine and the given number of
// decode engines. A violated invariant fails the test.
func newFixture(t *testing.T, decodes int, opts ...Option) *fixture {
	f := &fixture{t: t, clock: time.Unix(1000, 0)}
	opts = append([]Option{
		WithClock(func() time.Time { return f.clock }),
		WithCheck(func(name string, ok bool, keyvals ...any) bool {
			if !ok {
				t.Errorf("invariant %s violated: %v", name, keyvals)
			}
			return ok
		}),
	}, opts...)
	f.Dispatcher = NewDispatcher("d1", testModel, log.NewNopLogger(), opts...)
	f.SetEngines(testModel, testEngines(1, decodes), nil)
	return f
}

// testEngines returns prefill engines that compute 10,000 tokens per second, and
// decode engines with 2 slots and 100 pieces of 10 tokens each.
func testEngines(prefills, decodes int) []text.Engine {
	var list []text.Engine
	for i := range prefills {
		list = append(list, text.Engine{
			Name: ident.EndpointID(fmt.Sprintf("p%d", i)), Role: text.Prefill, Slots: 4,
			MemoryPieces: 1000, TokensPerPiece: 10, PrefillRate: 10_000, LinkBandwidth: 1e8,
		})
	}
	for i := range decodes {
		list = append(list, text.Engine{
			Name: ident.EndpointID(fmt.Sprintf("d%d", i)), Role: text.Decode, Slots: 2,
			MemoryPieces: 100, TokensPerPiece: 10, LinkBandwidth: 1e8,
		})
	}
	return list
}

// request returns a request of 100 prompt and 100 output tokens with a first-token
// deadline in 450 ms.
func (f *fixture) request(o ident.OrganisationID) Request {
	f.lastID++
	return Request{
		ID: ident.RequestID(fmt.Sprintf("r%d", f.lastID)), Attempt: 1, Organisation: o, Model: "m",
		PromptTokens: 100, MaxTokens: 100,
		FirstTokenDeadline: f.clock.Add(450 * time.Millisecond), Deadline: f.clock.Add(30 * time.Second),
	}
}

// advance moves the clock forward and calls Tick.
func (f *fixture) advance(d time.Duration) {
	f.clock = f.clock.Add(d)
	f.Tick()
}

// granted returns the grant received on the channel, or nil if there is none yet.
func granted(answer <-chan Decision) *Grant {
	select {
	case a := <-answer:
		return a.Grant
	default:
		return nil
	}
}

// refused returns the error received on the channel, or nil if there is none yet.
func refused(answer <-chan Decision) error {
	select {
	case a := <-answer:
		return a.Err
	default:
		return nil
	}
}

func TestRequestIsPlacedAtOnceOnIdleEngines(t *testing.T) {
	f := newFixture(t, 2)
	g := granted(f.Submit(f.request("a"), "i1"))
	if g == nil || g.Prefill != "p0" || g.Decode != "d0" {
		t.Fatalf("grant = %+v, want p0 and d0", g)
	}
}

func TestDecodeSlotIsReservedBeforePrefill(t *testing.T) {
	f := newFixture(t, 1)
	first := granted(f.Submit(f.request("a"), "i1"))
	f.PrefillDone(first.Lease)
	second := granted(f.Submit(f.request("a"), "i1"))
	f.PrefillDone(second.Lease)
	f.advance(50 * time.Millisecond)
	third := f.Submit(f.request("a"), "i1")
	if g := granted(third); g != nil {
		t.Fatalf("placed %+v without a free decode slot", g)
	}
	f.Release(first.Lease, Outcome{Result: Completed, OutputTokens: 100})
	if granted(third) == nil {
		t.Fatal("not placed after a slot was released")
	}
}

func TestRepeatedReleaseHasNoEffect(t *testing.T) {
	f := newFixture(t, 1)
	g := granted(f.Submit(f.request("a"), "i1"))
	f.Release(g.Lease, Outcome{Result: Completed})
	f.Release(g.Lease, Outcome{Result: Completed})
	f.PrefillDone(g.Lease)
	if n := f.engines["d0"].reservedSlots; n != 0 {
		t.Fatalf("%d slots reserved, want 0", n)
	}
}

func TestRepeatedSubmitReturnsSameGrant(t *testing.T) {
	f := newFixture(t, 1)
	r := f.request("a")
	first := granted(f.Submit(r, "i1"))
	again := granted(f.Submit(r, "i1"))
	if again == nil || *again != *first {
		t.Fatalf("second answer %+v, want %+v", again, first)
	}
	if n := f.engines["d0"].reservedSlots; n != 1 {
		t.Fatalf("%d slots reserved, want 1", n)
	}
}

func TestWaitingRequestIsRefusedWhenTargetCannotBeMet(t *testing.T) {
	f := newFixture(t, 1)
	for range 2 {
		g := granted(f.Submit(f.request("a"), "i1"))
		f.PrefillDone(g.Lease)
		f.advance(20 * time.Millisecond)
	}
	answer := f.Submit(f.request("a"), "i1")
	f.advance(300 * time.Millisecond)
	if err := refused(answer); err != nil {
		t.Fatalf("refused too early: %v", err)
	}
	f.advance(150 * time.Millisecond)
	err := refused(answer)
	if !fault.Is(err, fault.Overloaded) || fault.From(err).Ran != fault.NotRun {
		t.Fatalf("error = %v, want Overloaded and not run", err)
	}
	if !fault.From(err).RetryAfter.After(f.clock) {
		t.Error("RetryAfter is not set to a later time")
	}
}

func TestLongPromptWithUnattainableTargetIsPlaced(t *testing.T) {
	f := newFixture(t, 1)
	r := f.request("a")
	r.PromptTokens, r.MaxTokens = 8000, 10
	f.SetEngines(testModel, []text.Engine{
		{Name: "p0", Role: text.Prefill, Slots: 1, MemoryPieces: 1000, TokensPerPiece: 10, PrefillRate: 10_000},
		{Name: "d0", Role: text.Decode, Slots: 2, MemoryPieces: 1000, TokensPerPiece: 10},
	}, nil)
	if granted(f.Submit(r, "i1")) == nil {
		t.Fatal("a prompt of 8000 tokens was not placed on idle engines")
	}
}

func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	f := newFixture(t, 2)
	engines := testEngines(1, 2)
	engines[1].State = text.Leaving
	f.SetEngines(testModel, engines, nil)
	for range 2 {
		g := granted(f.Submit(f.request("a"), "i1"))
		if g == nil || g.Decode != "d1" {
			t.Fatalf("grant = %+v, want d1", g)
		}
		f.PrefillDone(g.Lease)
		f.advance(20 * time.Millisecond)
	}
	if g := granted(f.Submit(f.request("a"), "i1")); g != nil {
		t.Fatalf("placed %+v on a leaving engine", g)
	}
}

func TestCircuitBreakerOpensThenAdmitsOneProbe(t *testing.T) {
	f := newFixture(t, 1)
	g := granted(f.Submit(f.request("a"), "i1"))
	f.PrefillDone(g.Lease)
	f.Release(g.Lease, Outcome{Result: DecodeFailed})
	f.advance(20 * time.Millisecond)
	answer := f.Submit(f.request("a"), "i1")
	if granted(answer) != nil {
		t.Fatal("placed on an engine that has just failed")
	}
	f.Cancel(LeaseID("r2.1"))
	f.advance(breakerInitialOpen)
	probe := granted(f.Submit(f.request("a"), "i1"))
	if probe == nil {
		t.Fatal("no probe after the open period")
	}
	f.PrefillDone(probe.Lease)
	f.advance(20 * time.Millisecond)
	second := f.Submit(f.request("a"), "i1")
	if granted(second) != nil {
		t.Fatal("second request placed while the probe is in progress")
	}
	f.Release(probe.Lease, Outcome{Result: Completed, OutputTokens: 100})
	if granted(second) == nil {
		t.Fatal("not placed after the probe succeeded")
	}
}

func TestSmallRequestsDoNotStarveLargeOne(t *testing.T) {
	f := newFixture(t, 1)
	small := f.request("a")
	small.PromptTokens, small.MaxTokens = 100, 500
	g := granted(f.Submit(small, "i1"))
	f.PrefillDone(g.Lease)
	f.advance(20 * time.Millisecond)
	large := f.request("b")
	large.PromptTokens, large.MaxTokens = 100, 800
	largeAnswer := f.Submit(large, "i1")
	secondSmall := f.request("a")
	secondSmallAnswer := f.Submit(secondSmall, "i1")
	if granted(secondSmallAnswer) != nil {
		t.Fatal("a small request was placed in memory that a large request of an organisation with less service waits for")
	}
	f.Release(g.Lease, Outcome{Result: Completed, OutputTokens: 500})
	if granted(largeAnswer) == nil {
		t.Fatal("large request not placed after memory was released")
	}
}

func TestWaitingRequestIsRedirectedToDomainWithFreeSlots(t *testing.T) {
	f := newFixture(t, 1)
	for range 2 {
		g := granted(f.Submit(f.request("a"), "i1"))
		f.PrefillDone(g.Lease)
		f.advance(20 * time.Millisecond)
	}
	answer := f.Submit(f.request("a"), "i1")
	forwarded := f.request("a")
	forwarded.Forwarded = true
	forwardedAnswer := f.Submit(forwarded, "i1")
	f.SetCapacity(Capacity{Domain: "d2", FreeSlots: 2})
	f.advance(DefaultTuning().RedirectAfter)
	select {
	case a := <-answer:
		if a.RedirectTo != "d2" {
			t.Fatalf("decision %+v, want domain d2", a)
		}
	default:
		t.Fatal("request not redirected although another domain has free slots")
	}
	if len(forwardedAnswer) != 0 {
		t.Fatal("a forwarded request was decided; it must not be redirected again")
	}
}

func TestEngineWithCachedPrefixIsPreferred(t *testing.T) {
	f := newFixture(t, 1)
	f.SetEngines(testModel, testEngines(2, 2), nil)
	f.ReportCache("p1", []CacheEvent{{Type: "stored", Hashes: []string{"h1", "h2"}}}, false)
	r := f.request("a")
	r.PromptTokens, r.PrefixHashes = 600, []string{"h1", "h2"}
	g := granted(f.Submit(r, "i1"))
	if g == nil || g.Prefill != "p1" {
		t.Fatalf("grant = %+v, want p1", g)
	}
	f.ReportCache("p1", nil, true)
	if n := f.prefixes.cachedTokens("p1", r.PrefixHashes, 600); n != 0 {
		t.Fatalf("%d tokens still counted as cached after a gap in the cache events", n)
	}
}

func TestRestoredLeasesAreReservedUnlessEndedDuringRecovery(t *testing.T) {
	f := newFixture(t, 1, WithRecovery())
	answer := f.Submit(f.request("a"), "i1")
	f.Release("old.1", Outcome{Result: Completed})
	var records []LeaseRecord
	for _, id := range []LeaseID{"old.1", "old.2", "old.3"} {
		records = append(records, LeaseRecord{
			Lease: id, Holder: "i2", Decode: "d0", Prefill: "p0",
			PromptTokens: 100, MaxTokens: 100, Phase: Decoding, Deadline: f.clock.Add(time.Minute),
		})
	}
	f.RestoreLeases(records)
	f.RestoreLeases(records)
	f.FinishRecovery()
	if n := f.engines["d0"].reservedSlots; n != 2 {
		t.Fatalf("%d slots reserved, want 2", n)
	}
	if granted(answer) != nil {
		t.Fatal("placed on slots that restored leases hold")
	}
	f.Release("old.2", Outcome{Result: Completed})
	if granted(answer) == nil {
		t.Fatal("not placed after a restored lease ended")
	}
}

func TestLeasesOfDeadHoldersAreStale(t *testing.T) {
	f := newFixture(t, 1)
	g := granted(f.Submit(f.request("a"), "i1"))
	f.PrefillDone(g.Lease)
	f.advance(20 * time.Millisecond)
	other := granted(f.Submit(f.request("a"), "i2"))
	stale := f.StaleLeases(func(i ident.InstanceID) bool { return i == "i1" })
	if len(stale) != 1 || stale[0].Lease != other.Lease {
		t.Fatalf("stale leases = %+v, want only %s", stale, other.Lease)
	}
	f.DropLeases([]LeaseID{other.Lease})
	if n := f.engines["d0"].reservedSlots; n != 1 {
		t.Fatalf("%d slots reserved, want 1", n)
	}
}

func TestCloseRefusesWaitingAndLaterRequests(t *testing.T) {
	f := newFixture(t, 0)
	answer := f.Submit(f.request("a"), "i1")
	f.Close(fault.New(fault.NotHolder, "moved"))
	if err := refused(answer); !fault.Is(err, fault.NotHolder) {
		t.Fatalf("error = %v, want NotHolder", err)
	}
	if err := refused(f.Submit(f.request("a"), "i1")); !fault.Is(err, fault.NotHolder) {
		t.Fatalf("error after close = %v, want NotHolder", err)
	}
}

func TestCancelOfReplacedSubmissionHasNoEffect(t *testing.T) {
	f := newFixture(t, 1)
	r := f.request("a")
	first := f.Submit(r, "i1")
	second := f.Submit(r, "i1")
	f.CancelSubmission(r.LeaseID(), first)
	if _, leased := f.leases[r.LeaseID()]; !leased {
		t.Fatal("cancelling the first submission ended the lease of the second")
	}
	f.CancelSubmission(r.LeaseID(), second)
	if _, leased := f.leases[r.LeaseID()]; leased {
		t.Fatal("cancelling the newest submission did not end the lease")
	}
}

func TestWaitingOrganisationCountsInFairShares(t *testing.T) {
	f := newFixture(t, 1)
	for range 2 {
		g := granted(f.Submit(f.request("busy"), "i1"))
		f.PrefillDone(g.Lease)
		f.advance(20 * time.Millisecond)
	}
	if f.aboveFairShare("busy") {
		t.Fatal("the only organisation counts as above its share")
	}
	f.Submit(f.request("other"), "i1")
	if !f.aboveFairShare("busy") || f.aboveFairShare("other") {
		t.Fatal("the organisation with all reservations does not count as above its share while another waits, or the waiting one does")
	}
}
