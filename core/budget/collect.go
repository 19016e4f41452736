package budget

import (
	"context"
	"sync"
	"time"

	"monsoonfork/core/ident"
)

// tokenRequestTimeout bounds one request for tokens. The tokens of a reply
// that arrives later are lost.
const tokenRequestTimeout = 100 * time.Millisecond

// collector requests minted tokens from the slot holders of this domain.
// While a request to a holder is in progress, further organisations are
// batched into the next one.
type collector struct {
	b      *Budget
	mu     sync.Mutex
	queues map[ident.InstanceID]*holderQueue
	closed bool
	wg     sync.WaitGroup // Add is called only under mu and while closed is false.
}

// holderQueue holds the collections that wait for the next request to one
// holder.
type holderQueue struct {
	pending map[ident.OrganisationID]*pendingCollect
	sending bool
}

// pendingCollect is the collection of one organisation's tokens from one
// holder. received is set before done is closed.
type pendingCollect struct {
	done     chan struct{}
	received bool
}

// newCollector returns a collector without pending requests.
func newCollector(b *Budget) *collector {
	return &collector{b: b, queues: make(map[ident.InstanceID]*holderQueue)}
}

// collectAll moves the tokens that the slots of this domain have minted for
// an organisation into its pool on this instance. It reports whether any
// tokens arrived.
func (t *collector) collectAll(ctx context.Context, org ident.OrganisationID) bool {
	var pending []*pendingCollect
	for _, holder := range t.b.slots.holders() {
		pending = append(pending, t.enqueue(holder, org))
	}
	received := false
	for _, request := range pending {
		select {
		case <-request.done:
			received = received || request.received
		case <-ctx.Done():
			return received
		}
	}
	return received
}

// close prevents further requests and waits for those in progress.
func (t *collector) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.wg.Wait()
}

// enqueue adds an organisation to the next request to a holder. After close,
// the returned collection is already done.
func (t *collector) enqueue(holder ident.InstanceID, org ident.OrganisationID) *pendingCollect {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue, ok := t.queues[holder]
	if !ok {
		queue = &holderQueue{pending: make(map[ident.OrganisationID]*pendingCollect)}
		t.queues[holder] = queue
	}
	request, ok := queue.pending[org]
	if t.closed && !ok {
		request = &pendingCollect{done: make(chan struct{})}
		close(request.done)
		return request
	}
	if !ok {
		request = &pendingCollect{done: make(chan struct{})}
		queue.pending[org] = request
	}
	if !queue.sending && !t.closed {
		queue.sending = true
		t.wg.Add(1)
		go t.run(holder, queue)
	}
	return request
}

// run sends requests to a holder until its queue is empty.
func (t *collector) run(holder ident.InstanceID, queue *holderQueue) {
	defer t.wg.Done()
	for {
		t.mu.Lock()
		batch := queue.pending
		if len(batch) == 0 {
			queue.sending = false
			delete(t.queues, holder)
			t.mu.Unlock()
			return
		}
		queue.pending = make(map[ident.OrganisationID]*pendingCollect)
		t.mu.Unlock()
		t.send(holder, batch)
		for _, request := range batch {
			close(request.done)
		}
	}
}

// send sends one request to a holder and adds the received tokens to the
// pools.
func (t *collector) send(holder ident.InstanceID, batch map[ident.OrganisationID]*pendingCollect) {
	req := &TakeRequest{}
	for org := range batch {
		req.Organisations = append(req.Organisations, string(org))
	}
	sentAt := t.b.clock.Now()
	reply := &TakeReply{}
	t.b.metrics.collectCalls.Inc(1)
	if holder == t.b.self {
		reply = t.b.slots.collect(sentAt, req)
	} else if err := t.b.call(context.Background(), tokenRequestTimeout, holder, methodTake, req, reply); err != nil {
		return
	}
	for _, s := range reply.GetStocks() {
		org := ident.OrganisationID(s.GetOrganisation())
		request, ok := batch[org]
		intervals := t.b.decodeStock(holder, s, sentAt.ExpiryTime)
		if !ok || len(intervals) == 0 {
			continue
		}
		t.b.accounts.addTokens(org, intervals)
		t.b.metrics.collected.Inc(int64(totalTokens(intervals)))
		request.received = true
	}
}
