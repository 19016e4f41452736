package share

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
)

// end isolates instances for good and sends them nothing any more.
func (l *load) end(ids []ident.InstanceID) {
	for _, id := range ids {
		l.fleet.isolated[id] = true
	}
	var live []ident.InstanceID
	for _, id := range l.ids {
		if !l.fleet.isolated[id] {
			live = append(live, id)
		}
	}
	l.ids = live
	var waiting []returning
	for _, r := range l.waiting {
		if !l.fleet.isolated[r.to] {
			waiting = append(waiting, r)
		}
	}
	l.waiting = waiting
}

// noticeEnd lets the others know that instances have ended.
func (l *load) noticeEnd(ended []ident.InstanceID) {
	for _, id := range l.ids {
		for _, other := range ended {
			l.fleet.tables[id].MarkGone(other)
		}
	}
}

// start adds a new instance for each of those that have ended.
func (l *load) start(ended []ident.InstanceID) {
	for _, id := range ended {
		m := membership.Member{ID: id + "-new", Domain: ident.DomainID(id[:1]), PeerAddress: ident.Address(id), Started: l.fleet.now}
		l.fleet.add(m, l.ids, len(l.ids)+len(ended))
		l.fleet.shares[m.ID].random = l.random.Float64
		l.ids = append(l.ids, m.ID)
	}
}

// add adds an instance that knows the others and is known to them.
func (f *fleet) add(m membership.Member, others []ident.InstanceID, registered int) {
	now := func() time.Time { return f.now }
	table := membership.NewTable(m, nopLogger, now)
	for _, id := range others {
		table.RecordHeartbeat(f.tables[id].Self())
		f.tables[id].RecordHeartbeat(m)
	}
	f.tables[m.ID] = table
	f.shares[m.ID] = New(table.View, func() int { return registered }, f.caller(m.ID), nopLogger, now, bootTimeOf(now))
}

// TestNewInstancesDoNotAddBursts guards against an excess of the rate by restarted instances
// whose buckets are full, though the others have used what there was.
func TestNewInstancesDoNotAddBursts(t *testing.T) {
	const rate = 178_000
	loud := traffic{rate: rate, perSecond: 65, cost: 12_000, instances: 60}
	for seed := range uint64(4) {
		l := newLoad(seed)
		l.run(traffic{rate: rate, perSecond: 8, cost: 12_000, instances: 60}, 3*time.Second)
		l.run(loud, 3*time.Second)
		var ended []ident.InstanceID
		for _, n := range l.random.Perm(60)[:36] {
			ended = append(ended, l.ids[n])
		}
		l.end(ended)
		l.noticeEnd(ended)
		fewer := loud
		fewer.instances = 24
		l.run(fewer, 1500*time.Millisecond)
		l.start(ended)
		l.run(loud, 8*time.Second)
		limit := ident.Tokens((rate*quotaWindow.Seconds() + rate) * (1 + quotaOvershoot))
		if got := l.mostIn(quotaWindow); got > limit {
			t.Errorf("seed %d: %d tokens admitted in %v, want at most %d", seed, got, quotaWindow, limit)
		}
	}
}

// TestLostCollectorsKeepRate guards against an excess of the rate by instances whose collectors
// have all ended at the same moment.
func TestLostCollectorsKeepRate(t *testing.T) {
	const rate = 178_000
	loud := traffic{rate: rate, perSecond: 65, cost: 12_000, instances: 60}
	for _, seed := range []uint64{0, 1, 2, 3, 58} {
		loud.instances = 60
		l := newLoad(seed)
		l.run(traffic{rate: rate, perSecond: 8, cost: 12_000, instances: 60}, 3*time.Second)
		l.run(loud, 4*time.Second)
		var collectors []ident.InstanceID
		view := l.fleet.shares[l.ids[0]].view()
		for _, domain := range view.Domains() {
			owner, _ := view.Owner(domain, collectorKey)
			collectors = append(collectors, owner.ID)
		}
		l.end(collectors)
		loud.instances = len(l.ids)
		l.run(loud, time.Second)
		l.noticeEnd(collectors)
		l.run(loud, 4*time.Second)
		limit := ident.Tokens((rate*quotaWindow.Seconds() + rate) * (1 + quotaOvershoot))
		if got := l.mostIn(quotaWindow); got > limit {
			t.Errorf("seed %d: %d tokens admitted in %v, want at most %d", seed, got, quotaWindow, limit)
		}
	}
}

// TestInstancesAloneDoNotEachAddRequest guards against an excess of the rate by instances that are
// alone and each admit a request that is larger than their share of the burst.
func TestInstancesAloneDoNotEachAddRequest(t *testing.T) {
	const rate = 178_000
	for seed := range uint64(4) {
		l := newLoad(seed)
		for _, id := range l.ids {
			l.fleet.isolated[id] = true
		}
		for _, s := range l.fleet.shares {
			s.call = func(context.Context, ident.InstanceID, string, proto.Message, proto.Message) error {
				return fault.New(fault.PeerUnavailable, "no collector")
			}
		}
		l.run(traffic{rate: rate, perSecond: 65, cost: 12_000, instances: 60}, 10*time.Second)
		limit := ident.Tokens((rate*quotaWindow.Seconds() + rate) * (1 + quotaOvershoot))
		if got := l.mostIn(quotaWindow); got > limit {
			t.Errorf("seed %d: %d tokens admitted in %v, want at most %d", seed, got, quotaWindow, limit)
		}
	}
}
