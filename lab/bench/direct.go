package bench

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/config"
	"monsoonfork/core/ident"
	"monsoonfork/core/membership"
	"monsoonfork/core/placement"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
	"monsoonfork/io/httpcall"
	"monsoonfork/io/peer"
)

// entry is one instance with nothing but membership and placement. It shows
// what placement does, without budgets, keys or the callers' protocol.
type entry struct {
	id        ident.InstanceID
	domain    ident.DomainID
	placement *placement.Placement
	engines   *engine.Client
	links     *peer.Links
	table     *membership.Table
	holder    *config.Holder
	member    membership.Member
	closed    atomic.Bool
}

// newEntry starts an instance whose text is not known yet.
func newEntry(name string, domain ident.DomainID, calls *httpcall.Client, opts ...placement.ServiceOption) (*entry, error) {
	id := ident.NewInstanceID(name)
	links := peer.New(id, domain, log.NewNopLogger())
	address, err := links.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := membership.Member{ID: id, Domain: domain, PeerAddress: address, Started: time.Now()}
	e := &entry{id: id, domain: domain, links: links, member: m, holder: config.NewHolder(), engines: engine.New(calls, id)}
	e.table = membership.NewTable(m, log.NewNopLogger(), time.Now)
	links.AddressOf = e.table.AddressOf
	opts = append([]placement.ServiceOption{placement.WithEngines(placement.NewEngineQueries(e.engines))}, opts...)
	e.placement = placement.New(links.RoleLinks(), e.table, e.holder, log.NewNopLogger(), opts...)
	return e, nil
}

// close ends the instance at once, as a crash does.
func (e *entry) close() {
	if e.closed.Swap(true) {
		return
	}
	_ = e.placement.Close()
	_ = e.links.Close()
}

// entries are the instances of a round.
type entries struct {
	workload Workload
	text     *text.Text
	calls    *httpcall.Client
	opts     []placement.ServiceOption

	mu   sync.Mutex
	list []*entry
}

// add adds an instance.
func (all *entries) add(e *entry) {
	all.mu.Lock()
	defer all.mu.Unlock()
	all.list = append(all.list, e)
}

// live returns the instances that have not crashed.
func (all *entries) live() []*entry {
	all.mu.Lock()
	defer all.mu.Unlock()
	var live []*entry
	for _, e := range all.list {
		if !e.closed.Load() {
			live = append(live, e)
		}
	}
	return live
}

// startEntries starts the instances of a workload and makes them know each
// other.
func startEntries(w Workload, t *text.Text, opts ...placement.ServiceOption) (*entries, error) {
	calls, err := httpcall.New()
	if err != nil {
		return nil, err
	}
	all := &entries{workload: w, text: t, calls: calls, opts: opts}
	for _, d := range w.Domains {
		for i := range d.Instances {
			e, err := newEntry(fmt.Sprintf("%s-%d", d.Name, i+1), d.Name, calls, opts...)
			if err != nil {
				all.close()
				return nil, err
			}
			all.add(e)
		}
	}
	all.meet()
	for _, e := range all.live() {
		e.holder.Update(&config.Snapshot{Revision: 1, Text: t})
		e.placement.Start()
	}
	return all, nil
}

// meet makes all live instances know each other.
func (all *entries) meet() {
	live := all.live()
	for _, a := range live {
		for _, b := range live {
			a.table.RecordHeartbeat(b.member)
		}
	}
}

// dispatcherOf returns the instance that dispatches in a domain.
func (all *entries) dispatcherOf(domain ident.DomainID) *entry {
	live := all.live()
	for _, e := range live {
		owner, _ := e.table.View().Owner(domain, "Placement/"+string(modelName))
		for _, o := range live {
			if o.id == owner.ID {
				return o
			}
		}
	}
	return nil
}

// replace crashes an instance and starts a new one in its place. The others
// notice after the given time.
func (all *entries) replace(ctx context.Context, old *entry, notice time.Duration) error {
	old.close()
	if !sleep(ctx, notice) {
		return nil
	}
	for _, e := range all.live() {
		e.table.MarkGone(old.id)
	}
	e, err := newEntry("replaced", old.domain, all.calls, all.opts...)
	if err != nil {
		return err
	}
	all.add(e)
	all.meet()
	e.holder.Update(&config.Snapshot{Revision: 1, Text: all.text})
	e.placement.Start()
	return nil
}

// pick returns the live instance that a balancer would choose.
func (all *entries) pick(caller uint64) *entry {
	live := all.live()
	return live[caller%uint64(len(live))]
}

// close ends all instances.
func (all *entries) close() {
	for _, e := range all.live() {
		e.close()
	}
	all.calls.Close()
}

// sleep waits for d, and returns false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
