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

// memoryStore is a key-value service in memory that loses answers and refuses
// calls at random.
type memoryStore struct {
	mu       sync.Mutex
	random   *rand.Rand
	lose     float64 // Part of the writes whose answer is lost.
	fail     float64 // Part of the calls that fail before they do anything.
	index    keyvalue.Index
	values   map[string]keyvalue.Entry
	writes   int
	attempts int
}

func newMemoryStore(seed uint64, lose, fail float64) *memoryStore {
	return &memoryStore{
		random: rand.New(rand.NewPCG(seed, 1)),
		lose:   lose,
		fail:   fail,
		values: make(map[string]keyvalue.Entry),
	}
}

// errStore is the error of a call that failed.
var errStore = fault.New(fault.StoreUnavailable, "test store fails")

func (m *memoryStore) failing() bool { return m.random.Float64() < m.fail }

func (m *memoryStore) list(_ context.Context, prefix string) (keyvalue.Listing, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing() {
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
	if m.failing() {
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
	m.attempts++
	if m.failing() {
		return keyvalue.NotWritten, errStore
	}
	if m.values[key].ModifyIndex != at {
		return keyvalue.Conflict, nil
	}
	m.index++
	m.writes++
	m.values[key] = keyvalue.Entry{Key: key, Value: value, ModifyIndex: m.index}
	if m.random.Float64() < m.lose {
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

// calls returns the store's calls for a log.
func (m *memoryStore) calls() Store {
	return Store{Get: m.get, List: m.list, CompareAndSwap: m.compareAndSwap, Delete: m.remove}
}

// testAppender is one process that appends to one log.
func testAppender(t testing.TB, s Store) *shard {
	t.Helper()
	sh := newShard(&shardLog{
		store:      s,
		now:        time.Now,
		retention:  func() time.Duration { return time.Hour },
		holderGone: func(ident.InstanceID) bool { return false },
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

// claimOf returns an entry that claims a call.
func claimOf(key string, attempt int) Entry {
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

// Many callers repeat the same keys through four appenders, over a store that
// loses answers and fails: each key is granted once.
func TestEachCallIsGrantedAtMostOnce(t *testing.T) {
	const keys, attempts, appenders = 40, 6, 4
	for seed := range uint64(3) {
		m := newMemoryStore(seed, 0.3, 0.2)
		var all []*shard
		for range appenders {
			all = append(all, testAppender(t, m.calls()))
		}
		granted := grantAll(all, keys, attempts)
		for key, n := range granted {
			if n != 1 {
				t.Errorf("seed %d: key %s granted %d times, want 1", seed, key, n)
			}
		}
		if len(granted) != keys {
			t.Errorf("seed %d: %d keys granted, want %d", seed, len(granted), keys)
		}
		t.Logf("seed %d: %d operations, %d write attempts, %d writes", seed, keys*attempts, m.attempts, m.writes)
	}
}

// grantAll claims each key several times at once and counts the grants.
func grantAll(all []*shard, keys, attempts int) map[string]int {
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
				v := all[(k+attempt)%len(all)].do(ctx, claimOf(key, attempt))
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

// An appender that starts anew reads all of the log, over several segments,
// before it judges a call.
func TestRestartedAppenderKnowsOldCalls(t *testing.T) {
	m := newMemoryStore(1, 0, 0)
	first := &shardLog{store: m.calls(), now: time.Now, retention: func() time.Duration { return time.Hour }}
	for k := range 3*maxHeadEntries + 5 {
		if err := first.refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, err := first.write(t.Context(), []Entry{claimOf(fmt.Sprint(k), 0)}); err != nil {
			t.Fatal(err)
		}
	}
	second := testAppender(t, m.calls())
	for k := 0; k < 3*maxHeadEntries; k += 8 {
		v := second.do(t.Context(), claimOf(fmt.Sprint(k), 1))
		if !fault.Is(v.err, fault.CallInProgress) {
			t.Fatalf("call %d: verdict %+v, want CallInProgress", k, v)
		}
	}
}

func TestVerdictsOnRepeatedCalls(t *testing.T) {
	m := newMemoryStore(1, 0, 0)
	s := testAppender(t, m.calls())
	do := func(e Entry) verdict { return s.do(t.Context(), e) }
	if v := do(claimOf("k", 1)); v.err != nil || v.replay != nil {
		t.Fatalf("first claim: %+v", v)
	}
	if v := do(claimOf("k", 1)); v.err != nil || v.replay != nil {
		t.Errorf("same claim again: %+v, want granted", v)
	}
	if v := do(claimOf("k", 2)); !fault.Is(v.err, fault.CallInProgress) {
		t.Errorf("repetition while it runs: %+v", v)
	}
	other := claimOf("k", 3)
	other.Request = "another"
	if v := do(other); !fault.Is(v.err, fault.CallMismatch) {
		t.Errorf("same key, other request: %+v", v)
	}
	end := claimOf("k", 1)
	end.Op, end.Answer = Done, &Answer{Status: 201, Body: []byte("booked")}
	if v := do(end); v.err != nil {
		t.Errorf("done: %+v", v)
	}
	if v := do(claimOf("k", 4)); v.replay == nil || v.replay.Status != 201 || string(v.replay.Body) != "booked" {
		t.Errorf("repetition after the end: %+v, want the first answer", v)
	}
	free := claimOf("r", 1)
	do(free)
	free.Op = Release
	do(free)
	if v := do(claimOf("r", 2)); v.err != nil || v.replay != nil {
		t.Errorf("claim after release: %+v, want granted", v)
	}
}

func TestOutcomeIsUnknownAfterDeadlineOrDeath(t *testing.T) {
	m := newMemoryStore(1, 0, 0)
	s := testAppender(t, m.calls())
	late := claimOf("late", 1)
	late.Deadline = time.Now().Add(-time.Second).UnixMilli()
	s.do(t.Context(), late)
	if v := s.do(t.Context(), claimOf("late", 2)); !fault.Is(v.err, fault.OutcomeUnknown) {
		t.Errorf("after the deadline: %+v, want OutcomeUnknown", v)
	}
	if fault.From(s.do(t.Context(), claimOf("late", 3)).err).Ran == fault.NotRun {
		t.Error("an unknown outcome must not say not run")
	}
}

func TestUnfinishedRotationLosesNothing(t *testing.T) {
	m := newMemoryStore(1, 0, 0)
	l := &shardLog{store: m.calls(), now: time.Now, retention: func() time.Duration { return time.Hour }}
	stale := &shardLog{store: m.calls(), now: time.Now, retention: l.retention}
	write := func(l *shardLog, key string) keyvalue.Outcome {
		if err := l.refresh(t.Context()); err != nil {
			t.Fatal(err)
		}
		outcome, err := l.write(t.Context(), []Entry{claimOf(key, 1)})
		if err != nil {
			t.Fatal(err)
		}
		return outcome
	}
	for k := range maxHeadEntries - 1 {
		write(l, fmt.Sprint(k))
	}
	// One appender reads the head and stops; another fills and rotates it.
	if err := stale.refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	write(l, "last")
	write(l, "next")
	if outcome, _ := stale.rotate(t.Context()); outcome == keyvalue.Written {
		t.Error("a stale appender replaced a longer segment")
	}
	fresh := &shardLog{store: m.calls(), now: time.Now, retention: l.retention}
	if err := fresh.refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	if len(fresh.index) != maxHeadEntries+1 {
		t.Errorf("%d calls known after rotation, want %d", len(fresh.index), maxHeadEntries+1)
	}
}

func TestMalformedEntriesAreRefused(t *testing.T) {
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

// Whatever the order of entries, a call has at most one winning claim, and it
// is the first in the log that was not released before.
func TestFirstClaimInTheLogWins(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	never := func(time.Time) bool { return false }
	properties.Property("one winner", prop.ForAll(
		func(ops []int) bool {
			x := make(index)
			holder := ClaimID("")
			answered := false
			for _, op := range ops {
				e := claimOf("k", op%3)
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

// A process that appends for long keeps only the calls within the retention.
func TestExpiredCallsLeaveTheMemory(t *testing.T) {
	now := time.Now()
	l := &shardLog{
		store:      newMemoryStore(1, 0, 0).calls(),
		now:        func() time.Time { return now },
		retention:  func() time.Duration { return time.Hour },
		holderGone: func(ident.InstanceID) bool { return false },
	}
	s := newShard(l)
	claim := func(key string) {
		e := claimOf(key, 1)
		e.At = now.UnixMilli()
		op := &operation{entry: e, ctx: t.Context(), done: make(chan verdict, 1)}
		s.handle(t.Context(), []*operation{op})
		if v := <-op.done; v.err != nil {
			t.Fatal(v.err)
		}
	}
	for n := range 20 {
		claim(fmt.Sprintf("old-%d", n))
	}
	now = now.Add(time.Hour + time.Second)
	claim("new")
	if len(l.index) != 1 {
		t.Errorf("%d calls in memory, want only the new one", len(l.index))
	}
}
