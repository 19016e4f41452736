package quarantine

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"monsoonfork/core/event"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// Names of the methods that instances call on each other.
const (
	MethodExchange = "Quarantine.Exchange"
	MethodTrial    = "Quarantine.Trial"
)

// callTimeout bounds a call to another instance.
const callTimeout = 400 * time.Millisecond

// Run sends new evidence to other instances until ctx ends.
func (q *Quarantine) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.outbox.changed:
			q.sendPending(ctx)
		}
	}
}

// sendPending sends the evidence in the outbox, and writes what other instances need to the store.
func (q *Quarantine) sendPending(ctx context.Context) {
	if q.peers.View != nil {
		v := q.peers.View()
		if b := q.outbox.take(toDomain); !b.isEmpty() {
			q.send(ctx, v.Live(v.Self.Domain), b, false)
		}
		if b := q.outbox.take(toAll); !b.isEmpty() {
			q.stored.unreached = !q.sendToAll(ctx, v, b)
		}
	}
	q.updateStore(ctx)
}

// sendToAll sends evidence to the members of the own domain, and to one member of each other
// domain, which sends it on there. It reports whether all domains were reached.
func (q *Quarantine) sendToAll(ctx context.Context, v *membership.View, b batch) bool {
	var wg sync.WaitGroup
	q.goContained(&wg, func() { q.send(ctx, v.Live(v.Self.Domain), b, false) })
	var unreached atomic.Bool
	unreached.Store(len(knownDomains(v)) > len(v.Domains()))
	for _, domain := range v.Domains() {
		if domain == v.Self.Domain {
			continue
		}
		q.goContained(&wg, func() {
			if !q.sendToOneOf(ctx, v.Live(domain), b) {
				unreached.Store(true)
			}
		})
	}
	wg.Wait()
	return !unreached.Load()
}

// goContained calls f in a goroutine of the group. A panic in it is logged and ends only f.
func (q *Quarantine) goContained(wg *sync.WaitGroup, f func()) {
	wg.Go(func() { _ = q.boundary.Run("quarantine", f) })
}

// knownDomains returns the domains of all members that have not ended.
func knownDomains(v *membership.View) map[ident.DomainID]bool {
	domains := make(map[ident.DomainID]bool)
	for _, m := range v.Members() {
		if m.State != membership.Gone {
			domains[m.Domain] = true
		}
	}
	return domains
}

// maxRelays is how many members of another domain are tried, one after the other, to relay
// evidence there.
const maxRelays = 2

// sendToOneOf sends evidence to one of the members of another domain, which sends it on, and
// reports whether one has received it.
func (q *Quarantine) sendToOneOf(ctx context.Context, members []membership.Member, b batch) bool {
	first := rand.IntN(len(members))
	for i := range min(maxRelays, len(members)) {
		m := members[(first+i)%len(members)]
		if q.send(ctx, []membership.Member{m}, b, true) == 1 {
			return true
		}
	}
	return false
}

// send sends evidence to members in parallel, and returns how many have received it.
func (q *Quarantine) send(ctx context.Context, members []membership.Member, b batch, relay bool) int64 {
	var wg sync.WaitGroup
	var received atomic.Int64
	for _, m := range members {
		if m.ID == q.self {
			continue
		}
		q.goContained(&wg, func() {
			if q.exchange(ctx, m.ID, b, relay, 0) == nil {
				received.Add(1)
			}
		})
	}
	wg.Wait()
	return received.Load()
}

// exchange sends evidence to another instance and applies its reply. A digest other than 0 asks
// for all evidence of an instance that has another one.
func (q *Quarantine) exchange(ctx context.Context, to ident.InstanceID, b batch, relay bool, digest uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := q.encode(b)
	request.Relay, request.Digest = relay, digest
	reply := &Exchange{}
	if err := q.peers.Call(ctx, to, MethodExchange, request, reply); err != nil {
		return err
	}
	q.apply(to, reply, toNobody)
	if digest != 0 && reply.GetDigest() != q.digest() {
		// The other instance lacks something.
		return q.exchange(ctx, to, q.all(), false, 0)
	}
	return nil
}

// ServeExchange applies the evidence of another instance. The reply has what is known here of
// the same parts, and all evidence if the digests differ.
func (q *Quarantine) ServeExchange(_ context.Context, from ident.InstanceID, r *Exchange) (proto.Message, error) {
	to := toNobody
	if r.GetRelay() {
		to = toDomain
	}
	q.apply(from, r, to)
	reply := &Exchange{}
	if r.GetDigest() != 0 && r.GetDigest() != q.digest() {
		reply = q.encode(q.all())
	} else if len(r.GetCrashes()) > 0 {
		reply = q.encode(q.clearedOf(r.GetCrashes()))
	}
	reply.Digest = q.digest()
	return reply, nil
}

// apply applies evidence of another instance, and sends it on to the given recipients. They may
// lack it also if this instance has had it before, by a comparison.
func (q *Quarantine) apply(from ident.InstanceID, m *Exchange, to recipients) {
	now := q.now()
	if len(m.GetCrashes()) > maxRecords || len(m.GetCleared()) > maxRecords*maxRecordParts {
		q.logIgnored(from, "exchange", fault.New(fault.BadRequest, "%d crashes and %d cleared parts are too many", len(m.GetCrashes()), len(m.GetCleared())))
		return
	}
	crashes, cleared := q.decodeCrashes(from, m, now), q.decodeCleared(from, m, now)
	for scope := range crashes {
		q.scope(scope, maxRemoteScopes)
	}
	// Parts that are cleared come first, so that no crash counts against them.
	for scope, list := range cleared {
		if e := q.existing(scope); e != nil {
			q.clear(e, list, "a prompt with it was answered at another instance", toNobody)
		}
		q.outbox.add(to, batch{cleared: list})
	}
	for scope, list := range crashes {
		if e := q.existing(scope); e != nil {
			q.addCrashes(e, list, toNobody)
		}
		q.outbox.add(to, batch{crashes: list})
	}
}

// decodeCleared returns the cleared parts of a message by scope, without invalid ones.
func (q *Quarantine) decodeCleared(from ident.InstanceID, m *Exchange, now time.Time) map[Scope][]clearedPart {
	byScope := make(map[Scope][]clearedPart)
	for _, r := range m.GetCleared() {
		c, err := r.toClearedPart(now)
		if err != nil {
			q.logIgnored(from, "cleared part", err)
			continue
		}
		byScope[c.Scope] = append(byScope[c.Scope], c)
	}
	return byScope
}

// decodeCrashes returns the crashes of a message by scope, without invalid ones.
func (q *Quarantine) decodeCrashes(from ident.InstanceID, m *Exchange, now time.Time) map[Scope][]Crash {
	byScope := make(map[Scope][]Crash)
	for _, r := range m.GetCrashes() {
		c, err := r.toCrash(now)
		if err != nil {
			q.logIgnored(from, "crash", err)
			continue
		}
		byScope[c.Scope] = append(byScope[c.Scope], c)
	}
	return byScope
}

// logIgnored logs a record of another instance that is not used.
func (q *Quarantine) logIgnored(from ident.InstanceID, record string, err error) {
	_ = level.Warn(q.log).Log("msg", event.PeerRecordIgnored, "from", string(from), "record", record, "err", err)
}

// encode encodes evidence.
func (q *Quarantine) encode(b batch) *Exchange {
	now := q.now()
	m := &Exchange{}
	for _, c := range b.crashes {
		m.Crashes = append(m.Crashes, crashMessage(c, now))
	}
	for _, c := range b.cleared {
		m.Cleared = append(m.Cleared, clearedMessage(c, now))
	}
	return m
}

// all returns all crashes, and the parts of them that were cleared.
func (q *Quarantine) all() batch {
	return q.matching(func(Crash) bool { return true })
}

// matching returns the crashes that match, and the parts of them that were cleared.
func (q *Quarantine) matching(match func(Crash) bool) batch {
	now := q.now()
	var b batch
	for scope, e := range q.allEvidence() {
		s := e.snapshot(now, match)
		b.crashes = append(b.crashes, s.crashes...)
		for part, at := range s.cleared {
			b.cleared = append(b.cleared, clearedPart{scope, part, at})
		}
	}
	b.crashes = b.crashes[max(0, len(b.crashes)-maxRecords):]
	return b
}

// clearedOf returns the parts of the given crashes that were cleared here.
func (q *Quarantine) clearedOf(records []*CrashRecord) batch {
	now := q.now()
	known := make(map[crashID]bool)
	for _, r := range records {
		if c, err := r.toCrash(now); err == nil { // Invalid records were logged when they were applied.
			known[c.id()] = true
		}
	}
	b := q.matching(func(c Crash) bool { return known[c.id()] })
	b.crashes = nil
	return b
}

// digest returns a hash of the crashes and of which of their parts were cleared since; never 0.
func (q *Quarantine) digest() uint64 {
	sum := uint64(1)
	for scope, e := range q.allEvidence() {
		s := e.snapshot(q.now(), func(Crash) bool { return true })
		for _, c := range s.crashes {
			sum += hashCrash(scope, c, s.cleared)
		}
	}
	return max(sum, 1)
}

// hashCrash returns a hash of a crash and of its parts that were cleared since.
func hashCrash(scope Scope, c Crash, cleared map[ident.PartID]time.Time) uint64 {
	h := fnv.New64a()
	write := func(text string) {
		_, _ = h.Write([]byte(text))
		_, _ = h.Write([]byte{0})
	}
	for _, text := range []string{string(scope.Service), string(scope.Model), string(c.Run.Engine), string(c.Reporter)} {
		write(text)
	}
	for _, p := range c.Parts {
		if at, ok := cleared[p]; ok && at.After(c.At) {
			continue
		}
		write(string(p))
	}
	return h.Sum64()
}
