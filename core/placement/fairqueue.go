package placement

import (
	"container/heap"
	"sort"
	"time"

	"monsoonfork/core/ident"
)

// waiting is a request in the queue.
type waiting struct {
	request  Request
	holder   ident.InstanceID
	arrived  time.Time
	expires  time.Time // Latest time at which a placement still meets the target.
	target   time.Time // Latest predicted first token that is good enough.
	answer   chan Decision
	index    int // Position in its organisation's heap; -1 when out of the queue.
	answered bool
}

// waitingHeap orders the requests of an organisation: high priority first,
// then by the time at which they expire.
type waitingHeap []*waiting

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool {
	if h[i].request.Priority != h[j].request.Priority {
		return h[i].request.Priority > h[j].request.Priority
	}
	return h[i].expires.Before(h[j].expires)
}

func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waitingHeap) Push(x any) {
	w := x.(*waiting)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waitingHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}

// flow is the queue of one organisation.
type flow struct {
	organisation ident.OrganisationID
	weight       float64
	virtual      float64 // Tokens served over weight.
	tokens       ident.Tokens
	requests     waitingHeap
}

// fairQueue shares out service between organisations in tokens, by weight
// (start-time fair queueing).
type fairQueue struct {
	flows   map[ident.OrganisationID]*flow
	weights map[ident.OrganisationID]float64
	virtual float64 // Virtual time: the start tag of the newest service.
	length  int
}

// newFairQueue returns an empty queue.
func newFairQueue() *fairQueue {
	return &fairQueue{
		flows:   make(map[ident.OrganisationID]*flow),
		weights: make(map[ident.OrganisationID]float64),
	}
}

// flowOf returns the flow of an organisation, and makes it if needed.
func (q *fairQueue) flowOf(o ident.OrganisationID) *flow {
	f, ok := q.flows[o]
	if !ok {
		f = &flow{organisation: o, weight: q.weightOf(o), virtual: q.virtual}
		q.flows[o] = f
	}
	return f
}

// weightOf returns the weight of an organisation; 1 if none is set.
func (q *fairQueue) weightOf(o ident.OrganisationID) float64 {
	if w := q.weights[o]; w > 0 {
		return w
	}
	return 1
}

// setWeights sets the weights of the organisations.
func (q *fairQueue) setWeights(weights map[ident.OrganisationID]float64) {
	q.weights = weights
	for o, f := range q.flows {
		f.weight = q.weightOf(o)
	}
}

// push adds a request. An organisation that had none waiting starts at the
// current virtual time, so that it cannot save up service.
func (q *fairQueue) push(w *waiting) {
	f := q.flowOf(w.request.Organisation)
	if len(f.requests) == 0 {
		f.virtual = max(f.virtual, q.virtual)
	}
	f.tokens += w.request.cost()
	heap.Push(&f.requests, w)
	q.length++
}

// remove takes a request out, if it is there.
func (q *fairQueue) remove(w *waiting) {
	if w.index < 0 {
		return
	}
	f := q.flowOf(w.request.Organisation)
	heap.Remove(&f.requests, w.index)
	f.tokens -= w.request.cost()
	q.length--
}

// served charges the organisation for a request that was placed.
func (q *fairQueue) served(r Request) {
	f := q.flowOf(r.Organisation)
	q.virtual = max(q.virtual, f.virtual)
	f.virtual += float64(r.cost()) / f.weight
}

// refund gives back what a request was charged and did not use.
func (q *fairQueue) refund(o ident.OrganisationID, n ident.Tokens) {
	f, ok := q.flows[o]
	if !ok {
		return
	}
	f.virtual -= float64(n) / f.weight
	if len(f.requests) == 0 && f.virtual <= q.virtual {
		delete(q.flows, o)
	}
}

// order returns the organisations with waiting requests, the one that is
// furthest behind first.
func (q *fairQueue) order() []*flow {
	flows := make([]*flow, 0, len(q.flows))
	for o, f := range q.flows {
		if len(f.requests) > 0 {
			flows = append(flows, f)
			continue
		}
		if f.virtual <= q.virtual {
			delete(q.flows, o)
		}
	}
	sort.Slice(flows, func(i, j int) bool {
		if flows[i].virtual != flows[j].virtual {
			return flows[i].virtual < flows[j].virtual
		}
		return flows[i].organisation < flows[j].organisation
	})
	return flows
}

// share returns the part of the service, from 0 to 1, that an organisation has
// a right to among those that wait now, itself included.
func (q *fairQueue) share(o ident.OrganisationID) float64 {
	own := q.weightOf(o)
	sum := own
	for other, f := range q.flows {
		if other != o && len(f.requests) > 0 {
			sum += f.weight
		}
	}
	return own / sum
}
