package placement

import (
	"container/heap"
	"sort"
	"time"

	"monsoonfork/core/ident"
)

// queuedRequest is a request that waits for engines.
type queuedRequest struct {
	request          Request
	holder           ident.InstanceID
	arrived          time.Time
	expires          time.Time // Latest time of placement that still meets the target; refused after it.
	firstTokenTarget time.Time // A pair with a later predicted first token is not granted.
	answer           chan Decision
	heapIndex        int // Index in its organisation's heap; -1 if not queued.
	resolved         bool
}

// requestHeap orders the requests of an organisation by priority, high first,
// then by expiry time.
type requestHeap []*queuedRequest

func (h requestHeap) Len() int { return len(h) }

func (h requestHeap) Less(i, j int) bool {
	if h[i].request.Priority != h[j].request.Priority {
		return h[i].request.Priority > h[j].request.Priority
	}
	return h[i].expires.Before(h[j].expires)
}

func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	w := x.(*queuedRequest)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.heapIndex = -1
	return w
}

// flow is the queue of one organisation.
type flow struct {
	organisation ident.OrganisationID
	weight       float64
	virtualTime  float64 // Tokens charged, divided by the weight.
	tokens       ident.Tokens
	requests     requestHeap
}

// fairQueue distributes service among organisations in proportion to their
// weights, measured in tokens (start-time fair queueing).
type fairQueue struct {
	flows       map[ident.OrganisationID]*flow
	weights     map[ident.OrganisationID]float64
	virtualTime float64 // Largest start tag of a request served so far.
	length      int
}

// newFairQueue returns an empty queue.
func newFairQueue() *fairQueue {
	return &fairQueue{
		flows:   make(map[ident.OrganisationID]*flow),
		weights: make(map[ident.OrganisationID]float64),
	}
}

// flowOf returns the flow of an organisation, and creates it if needed.
func (q *fairQueue) flowOf(o ident.OrganisationID) *flow {
	f, ok := q.flows[o]
	if !ok {
		f = &flow{organisation: o, weight: q.weightOf(o), virtualTime: q.virtualTime}
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

// push adds a request. The flow of an organisation without waiting requests is
// moved up to the current virtual time, so that an idle organisation cannot
// accumulate credit.
func (q *fairQueue) push(w *queuedRequest) {
	f := q.flowOf(w.request.Organisation)
	if len(f.requests) == 0 {
		f.virtualTime = max(f.virtualTime, q.virtualTime)
	}
	f.tokens += w.request.cost()
	heap.Push(&f.requests, w)
	q.length++
}

// remove removes a request if it is queued.
func (q *fairQueue) remove(w *queuedRequest) {
	if w.heapIndex < 0 {
		return
	}
	f := q.flowOf(w.request.Organisation)
	heap.Remove(&f.requests, w.heapIndex)
	f.tokens -= w.request.cost()
	q.length--
}

// charge charges the organisation for a request that was placed.
func (q *fairQueue) charge(r Request) {
	f := q.flowOf(r.Organisation)
	q.virtualTime = max(q.virtualTime, f.virtualTime)
	f.virtualTime += float64(r.cost()) / f.weight
}

// refund returns tokens that a request was charged for and did not use. The flow
// is dropped if it has no waiting requests and no charge above the virtual time.
func (q *fairQueue) refund(o ident.OrganisationID, n ident.Tokens) {
	f, ok := q.flows[o]
	if !ok {
		return
	}
	f.virtualTime -= float64(n) / f.weight
	if len(f.requests) == 0 && f.virtualTime <= q.virtualTime {
		delete(q.flows, o)
	}
}

// flowsByVirtualTime returns the flows with waiting requests, the one with the
// least service first. It drops idle flows that have no charge above the virtual
// time.
func (q *fairQueue) flowsByVirtualTime() []*flow {
	flows := make([]*flow, 0, len(q.flows))
	for o, f := range q.flows {
		if len(f.requests) > 0 {
			flows = append(flows, f)
			continue
		}
		if f.virtualTime <= q.virtualTime {
			delete(q.flows, o)
		}
	}
	sort.Slice(flows, func(i, j int) bool {
		if flows[i].virtualTime != flows[j].virtualTime {
			return flows[i].virtualTime < flows[j].virtualTime
		}
		return flows[i].organisation < flows[j].organisation
	})
	return flows
}

// fairShare returns the fraction of the service, from 0 to 1, that an organisation
// is entitled to among those with waiting requests, itself included.
func (q *fairQueue) fairShare(o ident.OrganisationID) float64 {
	own := q.weightOf(o)
	sum := own
	for other, f := range q.flows {
		if other != o && len(f.requests) > 0 {
			sum += f.weight
		}
	}
	return own / sum
}
