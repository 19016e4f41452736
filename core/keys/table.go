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

// shardCount is the number of parts of the table of watches.
const shardCount = 16

// CutOffGrace is how long after the store's last confirmation a process goes
// on taking keys under the policy RefuseKeyed.
const CutOffGrace = 3 * time.Second

// retryPause is when a caller refused under RefuseKeyed may try again.
const retryPause = 2 * time.Second

// Grant is the outcome of a valid key.
type Grant struct {
	Key          ident.KeyID
	Organisation ident.OrganisationID
	digest       string // Of the entry that the key matched.
}

// Table checks keys against the newest text.
type Table struct {
	holder    *config.Holder
	now       func() time.Time
	confirmed func() time.Time
	refused   metrics.Counter
	cut       metrics.Counter
	seed      maphash.Seed
	shards    [shardCount]shard

	unsubscribe func()
}

// shard holds the watches of some keys.
type shard struct {
	mu      sync.Mutex
	nextID  int64
	watches map[ident.KeyID]map[int64]watch
}

// watch is a running request of a key.
type watch struct {
	grant Grant
	end   func(error)
}

// Option changes a table.
type Option func(*Table)

// WithConfirmed sets the function that says when the store last confirmed the
// newest text. Without it, the policy RefuseKeyed refuses nothing.
func WithConfirmed(f func() time.Time) Option { return func(t *Table) { t.confirmed = f } }

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(t *Table) { t.now = now } }

// WithMetrics registers the counters in r.
func WithMetrics(r metrics.Registry) Option { return func(t *Table) { t.register(r) } }

// NewTable returns a table that follows the holder until Close.
func NewTable(h *config.Holder, opts ...Option) *Table {
	t := &Table{holder: h, now: time.Now, seed: maphash.MakeSeed()}
	t.register(metrics.NewRegistry())
	for i := range t.shards {
		t.shards[i].watches = map[ident.KeyID]map[int64]watch{}
	}
	for _, o := range opts {
		o(t)
	}
	t.unsubscribe = h.Subscribe(t.follow)
	return t
}

// register makes the counters in r.
func (t *Table) register(r metrics.Registry) {
	t.refused = metrics.GetOrRegisterCounter("Keys.Refused", r)
	t.cut = metrics.GetOrRegisterCounter("Keys.RequestsCut", r)
}

// Close ends the following of the holder.
func (t *Table) Close() error {
	t.unsubscribe()
	return nil
}

// unknownKey is compared with keys whose name is not in the text, so that the
// time taken tells nothing about which names exist.
var unknownKey = text.Key{
	Salt:   "00000000000000000000000000000000",
	Digest: "0000000000000000000000000000000000000000000000000000000000000000",
}

// Verify returns the grant of a key as a caller showed it. Errors have kind
// Unauthenticated, or StoreUnavailable when the domain is cut off and the
// policy refuses keys then, or before there is any text.
func (t *Table) Verify(secret string) (Grant, error) {
	snapshot := t.holder.Current()
	if snapshot == nil {
		return Grant{}, fault.New(fault.StoreUnavailable, "no configuration text was received yet")
	}
	entry, found := (*text.Key)(nil), false
	if name, ok := nameIn(secret); ok {
		entry, found = snapshot.Text.Index().Key(name)
	}
	if !found {
		entry = &unknownKey
	}
	valid := matches(entry, secret)
	if !found || !valid || entry.Withdrawn {
		t.refused.Inc(1)
		return Grant{}, fault.New(fault.Unauthenticated, "the key is unknown or withdrawn")
	}
	if err := t.checkCutOff(snapshot); err != nil {
		t.refused.Inc(1)
		return Grant{}, err
	}
	return Grant{Key: entry.Name, Organisation: entry.Organisation, digest: entry.Digest}, nil
}

// checkCutOff refuses keys while this process hears of no newer text, if the
// policy says so.
func (t *Table) checkCutOff(snapshot *config.Snapshot) error {
	if snapshot.Text.Policy.CutOffKeys != text.RefuseKeyed || t.confirmed == nil {
		return nil
	}
	now := t.now()
	if now.Sub(t.confirmed()) <= CutOffGrace {
		return nil
	}
	return fault.New(fault.StoreUnavailable, "keys can not be confirmed: the failure domain is cut off").
		WithRetryAfter(now.Add(retryPause))
}

// Watch calls end once, with an error of kind KeyWithdrawn, when the grant's
// key is withdrawn, removed or changed; at once when it already is. The
// returned function ends the watch. end must not block.
func (t *Table) Watch(g Grant, end func(error)) (stop func()) {
	s := t.shardOf(g.Key)
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	if s.watches[g.Key] == nil {
		s.watches[g.Key] = map[int64]watch{}
	}
	s.watches[g.Key][id] = watch{g, end}
	s.mu.Unlock()
	// The text may have changed since the grant: from here on, either this look
	// or follow sees the change.
	if snapshot := t.holder.Current(); snapshot == nil || !holds(snapshot.Text, g) {
		if s.remove(g.Key, id) {
			t.endWatch(watch{g, end})
		}
	}
	return func() { s.remove(g.Key, id) }
}

// remove takes a watch out, and reports whether it was there.
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

// holds reports whether a grant is still good under a text.
func holds(newest *text.Text, g Grant) bool {
	entry, found := newest.Index().Key(g.Key)
	return found && !entry.Withdrawn && entry.Digest == g.digest && entry.Organisation == g.Organisation
}

// follow ends the watches of keys that a new text no longer grants.
func (t *Table) follow(snapshot *config.Snapshot) {
	for i := range t.shards {
		for _, w := range t.shards[i].takeInvalid(snapshot.Text) {
			t.endWatch(w)
		}
	}
}

// takeInvalid takes out and returns the watches whose grants are not good.
func (s *shard) takeInvalid(newest *text.Text) []watch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ended []watch
	for key, watches := range s.watches {
		for id, w := range watches {
			if !holds(newest, w.grant) {
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

// endWatch tells a request that its key is withdrawn.
func (t *Table) endWatch(w watch) {
	t.cut.Inc(1)
	w.end(fault.New(fault.KeyWithdrawn, "the key was withdrawn"))
}

// shardOf returns the shard of a key.
func (t *Table) shardOf(key ident.KeyID) *shard {
	return &t.shards[maphash.String(t.seed, string(key))%shardCount]
}

// Watched returns the number of running requests by key.
func (t *Table) Watched() map[ident.KeyID]int {
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
