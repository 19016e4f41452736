package keys

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/config"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/text"
)

// shardCount is the number of shards of the watches.
const shardCount = 16

// CutOffGrace is how long after the store's last confirmation a process still
// accepts keys under the policy RefuseKeyed.
const CutOffGrace = 3 * time.Second

// retryDelay is the time after which a caller that was refused under RefuseKeyed may
// retry.
const retryDelay = 2 * time.Second

// Grant is the result of verifying a valid key.
type Grant struct {
	Key          ident.KeyID
	Organisation ident.OrganisationID
	digest       string // Digest of the entry that the key matched.
}

// Verifier verifies keys against the newest configuration text, and keeps watches on
// the running requests of each key.
type Verifier struct {
	holder        *config.Holder
	now           func() time.Time
	confirmed     func() time.Time
	refusedKeys   metrics.Counter
	endedRequests metrics.Counter
	seed          maphash.Seed
	shards        [shardCount]shard

	unsubscribe func()
}

// shard holds the watches of the keys that hash to it, by key and watch id.
type shard struct {
	mu      sync.Mutex
	nextID  int64
	watches map[ident.KeyID]map[int64]watch
}

// watch is the watch on a running request. end is called when its grant becomes
// invalid.
type watch struct {
	grant Grant
	end   func(error)
}

// Option is an option of NewVerifier.
type Option func(*Verifier)

// WithConfirmed sets the function that returns when the store last confirmed the
// newest text. Without it, the policy RefuseKeyed has no effect.
func WithConfirmed(f func() time.Time) Option { return func(t *Verifier) { t.confirmed = f } }

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(t *Verifier) { t.now = now } }

// WithMetrics registers the counters in r.
func WithMetrics(r metrics.Registry) Option { return func(t *Verifier) { t.register(r) } }

// NewVerifier returns a verifier that uses the snapshots of the holder and is subscribed
// to it until Close.
func NewVerifier(h *config.Holder, opts ...Option) *Verifier {
	t := &Verifier{holder: h, now: time.Now, seed: maphash.MakeSeed()}
	t.register(metrics.NewRegistry())
	for i := range t.shards {
		t.shards[i].watches = map[ident.KeyID]map[int64]watch{}
	}
	for _, o := range opts {
		o(t)
	}
	t.unsubscribe = h.Subscribe(t.endInvalidWatches)
	return t
}

// register creates the counters in r.
func (t *Verifier) register(r metrics.Registry) {
	t.refusedKeys = metrics.GetOrRegisterCounter("Keys.Refused", r)
	t.endedRequests = metrics.GetOrRegisterCounter("Keys.RequestsCut", r)
}

// Close ends the subscription to the holder.
func (t *Verifier) Close() error {
	t.unsubscribe()
	return nil
}

// dummyEntry is compared with keys whose name is not in the text, so that the
// response time does not reveal which names exist.
var dummyEntry = text.Key{
	Salt:   "00000000000000000000000000000000",
	Digest: "0000000000000000000000000000000000000000000000000000000000000000",
}

// Verify verifies the key that a caller sent and returns its grant. Errors have
// kind Unauthenticated, or StoreUnavailable if no text was received yet, or if the
// domain is cut off and the policy is RefuseKeyed.
func (t *Verifier) Verify(secret string) (Grant, error) {
	snapshot := t.holder.Current()
	if snapshot == nil {
		return Grant{}, fault.New(fault.StoreUnavailable, "no configuration text was received yet")
	}
	entry, found := (*text.Key)(nil), false
	if name, ok := parseName(secret); ok {
		entry, found = snapshot.Text.Index().Key(name)
	}
	if !found {
		entry = &dummyEntry
	}
	valid := keyMatches(entry, secret)
	if !found || !valid || entry.Withdrawn {
		t.refusedKeys.Inc(1)
		return Grant{}, fault.New(fault.Unauthenticated, "the key is unknown or withdrawn")
	}
	if err := t.checkCutOff(snapshot); err != nil {
		t.refusedKeys.Inc(1)
		return Grant{}, err
	}
	return Grant{Key: entry.Name, Organisation: entry.Organisation, digest: entry.Digest}, nil
}

// checkCutOff returns an error if the policy is RefuseKeyed and the store's last
// confirmation of the newest text is older than CutOffGrace.
func (t *Verifier) checkCutOff(snapshot *config.Snapshot) error {
	if snapshot.Text.Policy.CutOffKeys != text.RefuseKeyed || t.confirmed == nil {
		return nil
	}
	now := t.now()
	if now.Sub(t.confirmed()) <= CutOffGrace {
		return nil
	}
	return fault.New(fault.StoreUnavailable, "keys cannot be confirmed: the failure domain is cut off").
		WithRetryAfter(now.Add(retryDelay))
}

// Watch calls end once, with an error of kind KeyWithdrawn, when the grant's key is
// withdrawn, removed or changed. If it already is, Watch calls end before it
// returns. stop removes the watch. end must not block.
func (t *Verifier) Watch(g Grant, end func(error)) (stop func()) {
	s := t.shardOf(g.Key)
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	if s.watches[g.Key] == nil {
		s.watches[g.Key] = map[int64]watch{}
	}
	s.watches[g.Key][id] = watch{g, end}
	s.mu.Unlock()
	// The text may have changed since the grant. The watch is now in the shard, so
	// the change is seen either by this check or by endInvalidWatches.
	if snapshot := t.holder.Current(); snapshot == nil || !grantIsValid(snapshot.Text, g) {
		if s.remove(g.Key, id) {
			t.endWatch(watch{g, end})
		}
	}
	return func() { s.remove(g.Key, id) }
}

// remove removes a watch, and reports whether it was present.
func (s *shard) remove(key ident.KeyID, id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.watches[key][id]; !ok {
		return false
	}
	delete(s.watches[key], id)
	if len(s.watches[key]) == 0 {
		delete(s.watches, key)
	}
	return true
}

// grantIsValid reports whether a grant is still valid under a text.
func grantIsValid(newest *text.Text, g Grant) bool {
	entry, found := newest.Index().Key(g.Key)
	return found && !entry.Withdrawn && entry.Digest == g.digest && entry.Organisation == g.Organisation
}

// endInvalidWatches ends the watches whose grants are not valid under a new
// snapshot.
func (t *Verifier) endInvalidWatches(snapshot *config.Snapshot) {
	for i := range t.shards {
		for _, w := range t.shards[i].removeInvalid(snapshot.Text) {
			t.endWatch(w)
		}
	}
}

// removeInvalid removes and returns the watches whose grants are not valid under a
// text.
func (s *shard) removeInvalid(newest *text.Text) []watch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ended []watch
	for key, watches := range s.watches {
		for id, w := range watches {
			if !grantIsValid(newest, w.grant) {
				ended = append(ended, w)
				delete(watches, id)
			}
		}
		if len(watches) == 0 {
			delete(s.watches, key)
		}
	}
	return ended
}

// endWatch ends the request of a watch with an error of kind KeyWithdrawn.
func (t *Verifier) endWatch(w watch) {
	t.endedRequests.Inc(1)
	w.end(fault.New(fault.KeyWithdrawn, "the key was withdrawn"))
}

// shardOf returns the shard of a key by its hash.
func (t *Verifier) shardOf(key ident.KeyID) *shard {
	return &t.shards[maphash.String(t.seed, string(key))%shardCount]
}

// WatchCounts returns the number of watched requests by key.
func (t *Verifier) WatchCounts() map[ident.KeyID]int {
	counts := map[ident.KeyID]int{}
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for key, watches := range s.watches {
			counts[key] = len(watches)
		}
		s.mu.Unlock()
	}
	return counts
}
