package keys

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"go.yaml.in/yaml/v3"

	"monsoonfork/core/config"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// snapshotOf returns a snapshot with a revision, policy and key entries.
func snapshotOf(t testing.TB, revision ident.Revision, policy text.Policy, entries ...text.Key) *config.Snapshot {
	t.Helper()
	raw, err := yaml.Marshal(text.Text{
		Domains: []ident.DomainID{"a"},
		Organisations: []text.Organisation{
			{Name: "tuinhulp", Rate: 1, Burst: 1}, {Name: "tatrasoft", Rate: 1, Burst: 1},
		},
		Keys:   entries,
		Policy: policy,
	})
	if err != nil {
		t.Fatal(err)
	}
	s, err := config.NewSnapshot(revision, fmt.Sprintf("edit-%d", revision), raw, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func withdrawn(k text.Key) text.Key {
	k.Withdrawn = true
	return k
}

func TestVerify(t *testing.T) {
	secret, entry := Generate("planner_app", "tuinhulp")
	other, otherEntry := Generate("orders", "tatrasoft")
	h := config.NewHolder()
	verifier := NewVerifier(h)
	if _, err := verifier.Verify(secret); !fault.Is(err, fault.StoreUnavailable) {
		t.Errorf("before any text: %v", err)
	}
	h.Update(snapshotOf(t, 1, text.Policy{}, entry, otherEntry))
	for s, organisation := range map[string]ident.OrganisationID{secret: "tuinhulp", other: "tatrasoft"} {
		if g, err := verifier.Verify(s); err != nil || g.Organisation != organisation {
			t.Errorf("Verify = %+v, %v, want %s", g, err, organisation)
		}
	}
	bad := []string{
		"", "mf_", "mf_planner_app_", "mf__x", "planner_app", secret + "0", secret[:len(secret)-1],
		strings.ToUpper(secret), " " + secret, strings.Replace(other, "orders", "planner_app", 1),
		"mf_nobody_" + strings.Repeat("0", 2*secretBytes), strings.Repeat("x", 1<<20), "mf_" + strings.Repeat("_", 1000),
	}
	for _, s := range bad {
		if _, err := verifier.Verify(s); !fault.Is(err, fault.Unauthenticated) {
			t.Errorf("Verify(%.40q): %v, want kind Unauthenticated", s, err)
		}
	}
	h.Update(snapshotOf(t, 2, text.Policy{}, withdrawn(entry), otherEntry))
	if _, err := verifier.Verify(secret); !fault.Is(err, fault.Unauthenticated) {
		t.Errorf("withdrawn key: %v", err)
	}
}

func TestTextDoesNotContainKey(t *testing.T) {
	secret, entry := Generate("planner", "tuinhulp")
	snapshot := snapshotOf(t, 1, text.Policy{}, entry)
	if strings.Contains(string(snapshot.Raw), secret) || strings.Contains(string(snapshot.Raw), secret[len("mf_planner_"):]) {
		t.Error("the text contains the key")
	}
}

// TestGeneratedKeysMatchTheirEntries generates keys with random names, and checks
// that a key with one changed bit no longer matches.
func TestGeneratedKeysMatchTheirEntries(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("a generated key matches its entry, a damaged one does not", prop.ForAll(
		func(name string, at int) bool {
			secret, entry := Generate(ident.KeyID(name), "tuinhulp")
			found, ok := parseName(secret)
			damaged := []byte(secret)
			damaged[at%len(damaged)] ^= 1
			return ok && string(found) == name && keyMatches(&entry, secret) && !keyMatches(&entry, string(damaged))
		},
		gen.RegexMatch(`[A-Za-z0-9][A-Za-z0-9._-]{0,40}`), gen.IntRange(0, 1<<20),
	))
	properties.TestingRun(t)
}

func TestWithdrawalEndsRequests(t *testing.T) {
	secret, entry := Generate("planner", "tuinhulp")
	other, otherEntry := Generate("orders", "tatrasoft")
	changes := map[string][]text.Key{
		"withdrawn":                   {withdrawn(entry), otherEntry},
		"removed":                     {otherEntry},
		"moved to other organisation": {{Name: entry.Name, Organisation: "tatrasoft", Salt: entry.Salt, Digest: entry.Digest}, otherEntry},
		"replaced":                    {newKeyOfSameName(), otherEntry},
	}
	for name, keys := range changes {
		t.Run(name, func(t *testing.T) {
			h := config.NewHolder()
			verifier := NewVerifier(h)
			h.Update(snapshotOf(t, 1, text.Policy{}, entry, otherEntry))
			ended, otherEnded := make(chan error, 2), make(chan error, 2)
			stop := verifier.Watch(mustVerify(t, verifier, secret), func(err error) { ended <- err })
			defer stop()
			defer verifier.Watch(mustVerify(t, verifier, other), func(err error) { otherEnded <- err })()
			h.Update(snapshotOf(t, 2, text.Policy{}, keys...))
			if len(ended) != 1 || !fault.Is(<-ended, fault.KeyWithdrawn) {
				t.Error("the request was not ended exactly once with kind KeyWithdrawn")
			}
			h.Update(snapshotOf(t, 3, text.Policy{}, keys...))
			if len(ended) != 0 || len(otherEnded) != 0 {
				t.Error("a request with another key was ended, or the same one twice")
			}
		})
	}
}

func newKeyOfSameName() text.Key {
	_, entry := Generate("planner", "tuinhulp")
	return entry
}

func mustVerify(t *testing.T, verifier *Verifier, secret string) Grant {
	t.Helper()
	g, err := verifier.Verify(secret)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// TestWithdrawalBetweenVerifyAndWatch withdraws the key after Verify returned its
// grant and before Watch is called. Watch must end the request at once.
func TestWithdrawalBetweenVerifyAndWatch(t *testing.T) {
	secret, entry := Generate("planner", "tuinhulp")
	h := config.NewHolder()
	verifier := NewVerifier(h)
	h.Update(snapshotOf(t, 1, text.Policy{}, entry))
	g := mustVerify(t, verifier, secret)
	h.Update(snapshotOf(t, 2, text.Policy{}, withdrawn(entry)))
	ended := 0
	verifier.Watch(g, func(error) { ended++ })()
	if ended != 1 {
		t.Errorf("ended %d times, want once", ended)
	}
	if n := len(verifier.WatchCounts()); n != 0 {
		t.Errorf("%d keys are still watched", n)
	}
}

// TestWithdrawalWithConcurrentRequests starts requests while the key is withdrawn.
// Each request that was granted must be ended exactly once, also if the withdrawal
// comes between its calls of Verify and Watch.
func TestWithdrawalWithConcurrentRequests(t *testing.T) {
	secret, entry := Generate("planner", "tuinhulp")
	h := config.NewHolder()
	verifier := NewVerifier(h)
	h.Update(snapshotOf(t, 1, text.Policy{}, entry))
	var running, endedTwice atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				g, err := verifier.Verify(secret)
				if err != nil {
					return
				}
				running.Add(1)
				var ends atomic.Int64
				verifier.Watch(g, func(error) {
					if ends.Add(1) > 1 {
						endedTwice.Add(1)
					}
					running.Add(-1)
				})
			}
		}()
	}
	time.Sleep(5 * time.Millisecond)
	h.Update(snapshotOf(t, 2, text.Policy{}, withdrawn(entry)))
	wg.Wait()
	if running.Load() != 0 || endedTwice.Load() != 0 {
		t.Errorf("%d requests were not ended, %d were ended twice", running.Load(), endedTwice.Load())
	}
}

func TestCutOffPolicy(t *testing.T) {
	secret, entry := Generate("planner", "tuinhulp")
	now := time.Unix(1000, 0)
	for policy, wantRefused := range map[text.CutOffKeys]bool{text.ServeLastKnown: false, text.RefuseKeyed: true} {
		confirmed := now
		h := config.NewHolder()
		verifier := NewVerifier(h, WithNow(func() time.Time { return now }), WithConfirmed(func() time.Time { return confirmed }))
		h.Update(snapshotOf(t, 1, text.Policy{CutOffKeys: policy}, entry))
		mustVerify(t, verifier, secret)
		confirmed = now.Add(-CutOffGrace)
		mustVerify(t, verifier, secret)
		confirmed = now.Add(-CutOffGrace - time.Millisecond)
		_, err := verifier.Verify(secret)
		if refused := fault.Is(err, fault.StoreUnavailable); refused != wantRefused {
			t.Errorf("%v: error = %v", policy, err)
		}
		if wantRefused && (fault.From(err).Ran != fault.NotRun || fault.From(err).RetryAfter.IsZero()) {
			t.Errorf("refusal %v lacks NotRun or a time for the retry", err)
		}
	}
}

func BenchmarkVerify(b *testing.B) {
	var entries []text.Key
	var secret string
	for i := range 520 {
		var entry text.Key
		secret, entry = Generate(ident.KeyID(fmt.Sprintf("key-%d", i)), "tuinhulp")
		entries = append(entries, entry)
	}
	h := config.NewHolder()
	verifier := NewVerifier(h)
	h.Update(snapshotOf(b, 1, text.Policy{}, entries...))
	for b.Loop() {
		if _, err := verifier.Verify(secret); err != nil {
			b.Fatal(err)
		}
	}
}
