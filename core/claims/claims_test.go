package claims

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
)

// memoryStore is an in-memory key-value store that loses answers and fails calls at
// random.
type memoryStore struct {
	mu             sync.Mutex
	random         *rand.Rand
	lostAnswerRate float64 // Probability that a write succeeds but its answer is lost.
	failureRate    float64 // Probability that a call fails without any effect.
	index          keyvalue.Index
	values         map[string]keyvalue.Entry
	writes         int
	writeAttempts  int
}

func newMemoryStore(seed uint64, lose, fail float64) *memoryStore {
	return &memoryStore{
		random:         rand.New(rand.NewPCG(seed, 1)),
		lostAnswerRate: lose,
		failureRate:    fail,
		values:         make(map[string]keyvalue.Entry),
	}
}

// errStore is the error of a failed call or a lost answer.
var errStore = fault.New(fault.StoreUnavailable, "simulated store failure")

func (m *memoryStore) randomFailure() bool { return m.random.Float64() < m.failureRate }

func (m *memoryStore) list(_ context.Context, prefix string) (keyvalue.Listing, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.randomFailure() {
		return keyvalue.Listing{}, errStore
	}
	var l keyvalue.Listing
	for i := keyvalue.Index(1); i <= m.index; i++ {
		for key, e := range m.values {
			if strings.HasPrefix(key, prefix) && e.ModifyIndex == i {
				l.Entries = append(l.Entries, e)
			}
		}
	}
	return l, nil
}

func (m *memoryStore) get(_ context.Context, key string) (keyvalue.Listing, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.randomFailure() {
		return keyvalue.Listing{}, errStore
	}
	if e, ok := m.values[key]; ok {
		return keyvalue.Listing{Entries: []keyvalue.Entry{e}}, nil
	}
	return keyvalue.Listing{}, nil
}

func (m *memoryStore) compareAndSwap(_ context.Context, key string, value []byte, at keyvalue.Index) (keyvalue.Outcome, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writeAttempts++
	if m.randomFailure() {
		return keyvalue.NotWritten, errStore
	}
	if m.values[key].ModifyIndex != at {
		return keyvalue.Conflict, nil
	}
	m.index++
	m.writes++
	m.values[key] = keyvalue.Entry{Key: key, Value: value, ModifyIndex: m.index}
	if m.random.Float64() < m.lostAnswerRate {
		return keyvalue.Unknown, errStore
	}
	return keyvalue.Written, nil
}

func (m *memoryStore) remove(_ context.Context, key string, at keyvalue.Index) (keyvalue.Outcome, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.values[key].ModifyIndex != at {
		return keyvalue.Conflict, nil
	}
	delete(m.values, key)
	return keyvalue.Written, nil
}

// asStore returns the Store whose operations are those of m.
func (m *memoryStore) asStore() Store {
	return Store{Get: m.get, List: m.list, CompareAndSwap: m.compareAndSwap, Delete: m.remove}
}

// startTestShard starts a shard for one log, as one instance would run it.
func startTestShard(t testing.TB, s Store) *shard {
	t.Helper()
	sh := newShard(&shardLog{
		store:       s,
		now:         time.Now,
		retention:   func() time.Duration { return time.Hour },
		holderEnded: func(ident.InstanceID) bool { return false },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		sh.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return sh
}

// newClaimEntry returns an entry that claims the call with the given key. Each attempt
// has its own claim id.
func newClaimEntry(key string, attempt int) Entry {
	return Entry{
		Op:       Claim,
		Call:     HashCall("org", "/bookings", key),
		Claim:    ClaimID(fmt.Sprintf("%s-%d", key, attempt)),
		Request:  "digest",
		Holder:   "a-1",
		At:       time.Now().UnixMilli(),
		Deadline: time.Now().Add(time.Minute).UnixMilli(),
	}
}

// TestCallGrantedAtMostOnce checks that each key is granted exactly once when many
// callers repeat the same keys through four shards on the same log, over a store that
// loses answers and fails calls.
func TestCallGrantedAtMostOnce(t *testing.T) {
	const keys, attempts, writers = 40, 6, 4
	for seed := range uint64(3) {
		m := newMemoryStore(seed, 0.3, 0.2)
		var shards []*shard
		for range writers {
			shards = append(shards, startTestShard(t, m.asStore()))
		}
		granted := countGrants(shards, keys, attempts)
		for key, n := range granted {
			if n != 1 {
				t.Errorf("seed %d: key %s granted %d times, want 1", seed, key, n)
			}
		}
		if len(granted) != keys {
			t.Errorf("seed %d: %d keys granted, want %d", seed, len(granted), keys)
		}
		t.Logf("seed %d: %d operations, %d write attempts, %d writes", seed, keys*attempts, m.writeAttempts, m.writes)
	}
}

// countGrants claims each key several times concurrently and counts the grants per
// key.
func countGrants(shards []*shard, keys, attempts int) map[string]int {
	var mu sync.Mutex
	granted := make(map[string]int)
	var wg sync.WaitGroup
	for k := range keys {
		for attempt := range attempts {
			wg.Add(1)
			go func() {
				defer wg.Done()
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				key := fmt.Sprint("key", k)
				v := shards[(k+attempt)%len(shards)].submit(ctx, newClaimEntry(key, attempt))
				if v.err == nil && v.replay == nil {
					mu.Lock()
					granted[key]++
					mu.Unlock()
				}
			}()
		}
	}
	wg.Wait()
	return granted
}

// TestNewShardLoadsWholeLog checks that a shard started on an existing log of several
// segments refuses calls that were claimed earlier.
func TestNewShardLoadsWholeLog(t *testing.T) {
	m := newMemoryStore(1, 0, 0)
	first := &shardLog{store: m.asStore(), now: time.Now, retention: func() time.Duration { return time.Hour }}
	for k := range 3*maxHeadEntries + 5 {
		if err := first.refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, err := first.write(t.Context(), []Entry{newClaimEntry(fmt.Sprint(k), 0)}); err != nil {
			t.Fatal(err)
		}
	}
	second := startTestShard(t, m.asStore())
	for k := 0; k < 3*maxHeadEntries; k += 8 {
		v := second.submit(t.Context(), newClaimEntry(fmt.Sprint(k), 1))
		if !fault.Is(v.err, fault.CallInProgress) {
			t.Fatalf("call %d: decision %+v, want CallInProgress", k, v)
		}
	}
}

// TestDecisionsOnRepeatedCalls checks the decision on a repeated claim in each state of
// the first call.
func TestDecisionsOnRepeatedCalls(t *testing.T) {
	m := newMemoryStore(1, 0, 0)
	s := startTestShard(t, m.asStore())
	do := func(e Entry) decision { return s.submit(t.Context(), e) }
	if v := do(newClaimEntry("k", 1)); v.err != nil || v.replay != nil {
		t.Fatalf("first claim: %+v", v)
	}
	if v := do(newClaimEntry("k", 1)); v.err != nil || v.replay != nil {
		t.Errorf("same claim again: %+v, want granted", v)
	}
	if v := do(newClaimEntry("k", 2)); !fault.Is(v.err, fault.CallInProgress) {
		t.Errorf("repetition while the call runs: %+v, want CallInProgress", v)
	}
	other := newClaimEntry("k", 3)
	other.Request = "another"
	if v := do(other); !fault.Is(v.err, fault.CallMismatch) {
		t.Errorf("same key, other request: %+v, want CallMismatch", v)
	}
	end := newClaimEntry("k", 1)
	end.Op, end.Answer = Done, &Answer{Status: 201, Body: []byte("booked")}
	if v := do(end); v.err != nil {
		t.Errorf("done: %+v", v)
	}
	if v := do(newClaimEntry("k", 4)); v.replay == nil || v.replay.Status != 201 || string(v.replay.Body) != "booked" {
		t.Errorf("repetition after completion: %+v, want the first answer", v)
	}
	free := newClaimEntry("r", 1)
	do(free)
	free.Op = Release
	do(free)
	if v := do(newClaimEntry("r", 2)); v.err != nil || v.replay != nil {
		t.Errorf("claim after release: %+v, want granted", v)
	}
}

// TestOutcomeUnknownAfterDeadline checks that a claim whose deadline has passed without
// an answer is reported as OutcomeUnknown, and never as NotRun.
func TestOutcomeUnknownAfterDeadline(t *testing.T) {
	m := newMemoryStore(1, 0, 0)
	s := startTestShard(t, m.asStore())
	late := newClaimEntry("late", 1)
	late.Deadline = time.Now().Add(-time.Second).UnixMilli()
	s.submit(t.Context(), late)
	if v := s.submit(t.Context(), newClaimEntry("late", 2)); !fault.Is(v.err, fault.OutcomeUnknown) {
		t.Errorf("after the deadline: %+v, want OutcomeUnknown", v)
	}
	if fault.From(s.submit(t.Context(), newClaimEntry("late", 3)).err).Ran == fault.NotRun {
		t.Error("error with an unknown outcome says NotRun")
	}
}

// TestInterruptedRotationKeepsEntries checks that a writer with an outdated head cannot
// replace a segment by one with fewer entries, and that rotation loses no entry.
func TestInterruptedRotationKeepsEntries(t *testing.T) {
	m := newMemoryStore(1, 0, 0)
	l := &shardLog{store: m.asStore(), now: time.Now, retention: func() time.Duration { return time.Hour }}
	stale := &shardLog{store: m.asStore(), now: time.Now, retention: l.retention}
	write := func(l *shardLog, key string) keyvalue.Outcome {
		if err := l.refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		outcome, err := l.write(t.Context(), []Entry{newClaimEntry(key, 1)})
		if err != nil {
			t.Fatal(err)
		}
		return outcome
	}
	for k := range maxHeadEntries - 1 {
		write(l, fmt.Sprint(k))
	}
	// One writer reads the head and pauses; another one fills and rotates it.
	if err := stale.refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	write(l, "last")
	write(l, "next")
	if outcome, _ := stale.rotate(t.Context()); outcome == keyvalue.Written {
		t.Error("a writer with an outdated head replaced a longer segment")
	}
	fresh := &shardLog{store: m.asStore(), now: time.Now, retention: l.retention}
	if err := fresh.refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if len(fresh.calls) != maxHeadEntries+1 {
		t.Errorf("%d calls in the index after rotation, want %d", len(fresh.calls), maxHeadEntries+1)
	}
}

func TestMalformedEntriesRejected(t *testing.T) {
	bad := []string{
		`{"Op":7,"Call":"` + strings.Repeat("a", 32) + `","Claim":"c"}`,
		`{"Op":0,"Call":"short","Claim":"c"}`,
		`{"Op":0,"Call":"` + strings.Repeat("a", 32) + `"}`,
		`{"Op":1,"Call":"` + strings.Repeat("a", 32) + `","Claim":"c"}`,
	}
	for _, raw := range bad {
		var e Entry
		if err := json.Unmarshal([]byte(raw), &e); err == nil {
			t.Errorf("%s was decoded without an error", raw)
		}
	}
}

// TestFirstClaimInLogWins checks for arbitrary sequences of entries that a call is held
// by at most one claim: the first one in the log that has not been released.
func TestFirstClaimInLogWins(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	never := func(time.Time) bool { return false }
	properties.Property("the first claim wins", prop.ForAll(
		func(ops []int) bool {
			x := make(callIndex)
			holder := ClaimID("")
			answered := false
			for _, op := range ops {
				e := newClaimEntry("k", op%3)
				e.Op = Op(op / 3 % 3)
				if e.Op == Done {
					e.Answer = &Answer{Status: 200}
				}
				x.apply(&e, never)
				switch {
				case e.Op == Claim && holder == "":
					holder = e.Claim
				case e.Op == Release && holder == e.Claim && !answered:
					holder = ""
				case e.Op == Done && holder == e.Claim:
					answered = true
				}
				r, exists := x[e.Call]
				if exists != (holder != "") || exists && r.claim != holder {
					return false
				}
			}
			return true
		},
		gen.SliceOf(gen.IntRange(0, 8)),
	))
	properties.TestingRun(t)
}

// TestExpiredCallsRemovedFromIndex checks that calls older than the retention do not
// accumulate in memory while a process keeps appending.
func TestExpiredCallsRemovedFromIndex(t *testing.T) {
	now := time.Now()
	l := &shardLog{
		store:       newMemoryStore(1, 0, 0).asStore(),
		now:         func() time.Time { return now },
		retention:   func() time.Duration { return time.Hour },
		holderEnded: func(ident.InstanceID) bool { return false },
	}
	s := newShard(l)
	claim := func(key string) {
		e := newClaimEntry(key, 1)
		e.At = now.UnixMilli()
		op := &operation{entry: e, ctx: t.Context(), result: make(chan decision, 1)}
		s.processBatch(t.Context(), []*operation{op})
		if v := <-op.result; v.err != nil {
			t.Fatal(v.err)
		}
	}
	for n := range 20 {
		claim(fmt.Sprintf("old-%d", n))
	}
	now = now.Add(time.Hour + time.Second)
	claim("new")
	if len(l.calls) != 1 {
		t.Errorf("%d calls in the index, want only the new one", len(l.calls))
	}
}
