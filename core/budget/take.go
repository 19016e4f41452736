package budget

import (
	"context"
	"sync"
	"time"

	"monsoonfork/core/ident"
)

// fetchTimeout bounds one question for tokens. A reply that comes later is
// lost, and its tokens with it.
const fetchTimeout = 100 * time.Millisecond

// takers asks the slot holders of this domain for tokens. While a question to a
// holder is under way, further organisations gather for the next one.
type takers struct {
	b      *Budget
	mu     sync.Mutex
	to     map[ident.InstanceID]*taker
	closed bool
	wg     sync.WaitGroup // Added to under mu while not closed.
}

// taker gathers the questions to one holder.
type taker struct {
	waiting map[ident.OrganisationID]*taking
	busy    bool
}

// taking is one organisation's question. got is set before done is closed.
type taking struct {
	done chan struct{}
	got  bool
}

// newTakers returns takers that ask nobody yet.
func newTakers(b *Budget) *takers {
	return &takers{b: b, to: make(map[ident.InstanceID]*taker)}
}

// takeAll moves to the home's pool what the slots of this domain have minted
// for an organisation. It reports whether any came.
func (t *takers) takeAll(ctx context.Context, org ident.OrganisationID) bool {
	var waiting []*taking
	for _, holder := range t.b.keeper.holders() {
		waiting = append(waiting, t.ask(holder, org))
	}
	got := false
	for _, q := range waiting {
		select {
		case <-q.done:
			got = got || q.got
		case <-ctx.Done():
			return got
		}
	}
	return got
}

// close lets no more questions begin, and waits for those under way.
func (t *takers) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.wg.Wait()
}

// ask queues a question to a holder. After close it is answered at once.
func (t *takers) ask(holder ident.InstanceID, org ident.OrganisationID) *taking {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.to[holder]
	if !ok {
		k = &taker{waiting: make(map[ident.OrganisationID]*taking)}
		t.to[holder] = k
	}
	q, ok := k.waiting[org]
	if t.closed && !ok {
		q = &taking{done: make(chan struct{})}
		close(q.done)
		return q
	}
	if !ok {
		q = &taking{done: make(chan struct{})}
		k.waiting[org] = q
	}
	if !k.busy && !t.closed {
		k.busy = true
		t.wg.Add(1)
		go t.run(holder, k)
	}
	return q
}

// run sends questions to a holder until none waits.
func (t *takers) run(holder ident.InstanceID, k *taker) {
	defer t.wg.Done()
	for {
		t.mu.Lock()
		batch := k.waiting
		if len(batch) == 0 {
			k.busy = false
			delete(t.to, holder)
			t.mu.Unlock()
			return
		}
		k.waiting = make(map[ident.OrganisationID]*taking)
		t.mu.Unlock()
		t.send(holder, batch)
		for _, q := range batch {
			close(q.done)
		}
	}
}

// send asks a holder once and adds what comes to the home's pools.
func (t *takers) send(holder ident.InstanceID, batch map[ident.OrganisationID]*taking) {
	req := &TakeRequest{}
	for org := range batch {
		req.Organisations = append(req.Organisations, string(org))
	}
	asked := t.b.clock.Now()
	reply := &TakeReply{}
	t.b.metrics.takeCalls.Inc(1)
	if holder == t.b.self {
		reply = t.b.keeper.take(asked, req)
	} else if err := t.b.call(context.Background(), fetchTimeout, holder, methodTake, req, reply); err != nil {
		return
	}
	for _, s := range reply.GetStocks() {
		org := ident.OrganisationID(s.GetOrganisation())
		q, ok := batch[org]
		intervals, err := intervalsFrom(s, asked.Age)
		if err != nil || !ok || len(intervals) == 0 {
			continue
		}
		t.b.home.add(org, intervals)
		t.b.metrics.taken.Inc(int64(total(intervals)))
		q.got = true
	}
}
