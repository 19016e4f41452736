package presence

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/ident"
)

// rig is a store and a keeper.
type rig struct {
	now     time.Time
	members int
	first   bool
	puts    []string // Members and lease of each write.
	leases  int64
	renews  int
	fail    error
	lapsed  bool
}

func (r *rig) keeper() *Keeper {
	return &Keeper{
		Store: Store{
			Lease: func(context.Context, time.Duration) (int64, error) { r.leases++; return r.leases, r.fail },
			Renew: func(context.Context, int64) error {
				r.renews++
				if r.lapsed {
					return ErrLapsed
				}
				return r.fail
			},
			Put: func(_ context.Context, _ ident.DomainID, value []byte, lease int64) error {
				var record Record
				if err := json.Unmarshal(value, &record); err != nil {
					return err
				}
				r.puts = append(r.puts, fmt.Sprintf("%d under %d", record.Members, lease))
				return r.fail
			},
		},
		Record:  Record{Domain: "a", Instance: "a0", PeerAddress: "peer"},
		Members: func() int { return r.members },
		IsFirst: func() bool { return r.first },
		Now:     func() time.Time { return r.now },
		Log:     log.NewNopLogger(),
	}
}

// pass lets time pass with looks.
func (r *rig) pass(k *Keeper, d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(lookEvery) {
		// What fails is tried again at the next look.
		_ = k.look(context.Background())
	}
}

// TestOnlyTheFirstWrites counts the calls of a domain over a minute.
func TestOnlyTheFirstWrites(t *testing.T) {
	r := &rig{now: time.Now(), members: 12, first: true}
	r.pass(r.keeper(), time.Minute)
	if fmt.Sprint(r.puts) != "[12 under 1]" || r.renews < 10 || r.renews > 13 {
		t.Errorf("writes %v, %d renewals", r.puts, r.renews)
	}
	other := &rig{now: time.Now(), members: 12}
	other.pass(other.keeper(), time.Minute)
	if len(other.puts)+other.renews+int(other.leases) != 0 {
		t.Errorf("an instance that is not the first makes calls: %+v", other)
	}
}

// TestFewerMembersAreWrittenLate restarts a member, then loses it for good.
func TestFewerMembersAreWrittenLate(t *testing.T) {
	r := &rig{now: time.Now(), members: 3, first: true}
	k := r.keeper()
	r.pass(k, lookEvery)
	r.members = 2
	r.pass(k, lowerAfter/2)
	r.members = 3
	r.pass(k, lowerAfter)
	if len(r.puts) != 1 {
		t.Errorf("writes %v for a member that was back soon", r.puts)
	}
	r.members = 2
	r.pass(k, lowerAfter+2*lookEvery)
	r.members = 4
	r.pass(k, lookEvery)
	if fmt.Sprint(r.puts) != "[3 under 1 2 under 1 4 under 1]" {
		t.Errorf("writes %v", r.puts)
	}
}

// TestRegisteredAnew loses the answer of a write, then the lease.
func TestRegisteredAnew(t *testing.T) {
	r := &rig{now: time.Now(), members: 3, first: true}
	k := r.keeper()
	r.fail = errors.New("no answer")
	r.pass(k, 2*lookEvery)
	r.fail = nil
	r.pass(k, lookEvery)
	r.lapsed = true
	r.pass(k, renewEvery+lookEvery)
	r.lapsed = false
	r.pass(k, 2*lookEvery)
	if last := r.puts[len(r.puts)-1]; last != fmt.Sprintf("3 under %d", r.leases) || r.leases < 3 {
		t.Errorf("writes %v", r.puts)
	}
}

// TestMembersAreRemembered has a domain's entry lapse, and come back lower.
func TestMembersAreRemembered(t *testing.T) {
	now := time.Now()
	g := NewRegister(func() time.Time { return now })
	put := func(domain ident.DomainID, members int, revision int64) {
		t.Helper()
		raw, err := json.Marshal(Record{Domain: domain, Members: members})
		if err != nil {
			t.Fatal(err)
		}
		if err := g.Put(domain, raw, revision); err != nil {
			t.Fatal(err)
		}
	}
	want := func(n int, why string) {
		t.Helper()
		if got := g.Count(); got != n {
			t.Errorf("%s: %d, want %d", why, got, n)
		}
	}
	put("a", 5, 1)
	put("b", 4, 2)
	want(9, "two domains")
	put("a", 1, 1)
	g.Remove("b", 5)
	want(9, "fewer members, and a lapsed entry")
	now = now.Add(rememberFor + time.Second)
	want(1, "long after")
	put("a", 7, 3)
	want(7, "more members")
	if err := g.Put("a", []byte(`{"Members":-1}`), 9); err == nil {
		t.Error("a spoiled entry was taken")
	}
	raw, err := json.Marshal(Record{Domain: "c", Members: 1, PeerAddress: "peer"})
	if err != nil {
		t.Fatal(err)
	}
	if err := g.Put("c", raw, 10); err != nil || len(g.Addresses()) != 1 || g.Addresses()[0] != "peer" {
		t.Errorf("addresses %v, %v", g.Addresses(), err)
	}
	g.Told(20)
	want(20, "told by one that follows the store")
}
