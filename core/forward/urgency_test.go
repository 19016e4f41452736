package forward

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/admission"
	"monsoonfork/core/catalog"
	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// contest is a load of requests of several priorities that compete at several instances for few
// reservations, each of which is freed some time after it was granted.
type contest struct {
	instances  []*harness
	priorities []int
	free       chan struct{} // One element for each free reservation.

	mu     sync.Mutex
	asked  map[int]int // Number of requests by priority.
	served map[int]int
	delays map[int][]time.Duration // From the refusal to the permitted return.
}

const (
	contestHold = 200 * time.Millisecond // How long a reservation is in use.
	contestTime = 4 * time.Second
)

// newContest returns instances that share a number of reservations.
func newContest(t *testing.T, instances, reservations int, priorities ...int) *contest {
	c := &contest{
		priorities: priorities, free: make(chan struct{}, reservations),
		asked: make(map[int]int), served: make(map[int]int), delays: make(map[int][]time.Duration),
	}
	for range reservations {
		c.free <- struct{}{}
	}
	config := catalog.Catalog{Version: 1, Services: []catalog.Service{{Name: "model", Model: &catalog.ModelPool{KVCacheTokens: 10_000}}}}
	config.Organisations = []catalog.Organisation{{Name: "org", Keys: []string{"key"}}}
	for _, p := range priorities {
		r := route(fmt.Sprint(p), catalog.Stream, "model", 1)
		r.Priority, r.TimeoutMS, r.TargetLatencyMS = p, 4000, 600
		config.Routes = append(config.Routes, r)
	}
	built, err := catalog.New(config)
	if err != nil {
		t.Fatal(err)
	}
	for range instances {
		h := newHarness(t)
		h.router.Catalog = func() *catalog.Catalog { return built }
		h.router.Admit = func(*catalog.Organisation, ident.Tokens, int) Admission {
			return Admission{Granted: true, Refund: func() {}}
		}
		h.reserve = c.reserve
		h.send = func(_ int, _ Call, sink Sink) error { return sendAnswer(sink, 200, "id: 1\ndata: a\n\n") }
		c.instances = append(c.instances, h)
	}
	return c
}

// reserve grants a reservation if one is free.
func (c *contest) reserve(engines.Entry) (string, error) {
	select {
	case <-c.free:
		time.AfterFunc(contestHold, func() { c.free <- struct{}{} })
		return "reservation", nil
	default:
		return "", errRefused
	}
}

// run sends one request of each priority to the instances in turn at each interval. Meanwhile the
// instances know of each other's waiting requests.
func (c *contest) run(interval time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := range int(contestTime / interval) {
		for k, p := range c.priorities {
			wg.Go(func() { c.send(c.instances[(i+k)%len(c.instances)], p) })
		}
		sum := make(admission.Waiting)
		for _, h := range c.instances {
			for service, classes := range h.router.Pressure.Own() {
				sum.Add(service, classes)
			}
		}
		for _, h := range c.instances {
			h.router.Pressure.SetOthers(sum, time.Now().Add(time.Second))
		}
		time.Sleep(interval)
	}
}

// send sends a request and counts its outcome.
func (c *contest) send(h *harness, priority int) {
	got := h.serveContext(context.Background(), fmt.Sprint(priority))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked[priority]++
	if got.err == nil {
		c.served[priority]++
	} else if f := fault.From(got.err); f.Kind == fault.Overloaded {
		c.delays[priority] = append(c.delays[priority], time.Until(f.RetryAfter))
	}
}

// TestUrgentRequestsGetMemoryFirst guards against urgent requests that get memory no more often
// than others while it is short, here or at other instances, against less urgent ones that get
// none, and against refused ones that return at once or together. Its clock is that of
// testing/synctest, so that no time passes between a refusal and the look at its Retry-After.
func TestUrgentRequestsGetMemoryFirst(t *testing.T) {
	metrics.NewMeter().Stop() // Starts the goroutine of go-metrics outside of synctest, where it never ends.
	for _, instances := range []int{1, 12} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { checkContest(t, instances) })
		})
	}
}

// checkContest is the body of TestUrgentRequestsGetMemoryFirst.
func checkContest(t *testing.T, instances int) {
	c := newContest(t, instances, 4, 0, 1, 2)
	c.run(60 * time.Millisecond) // 50 requests a second for 20 reservations a second.
	t.Logf("served %v of %v", c.served, c.asked)
	all := c.served[0] + c.served[1] + c.served[2] // Of as many requests of each priority.
	if c.served[0]*3 < all*6/5 || c.served[2]*3 < all/4 {
		t.Errorf("served %v", c.served)
	}
	if early, late := slices.Min(c.delays[2]), slices.Max(c.delays[2]); early < overloadedRetryAfter || late < early+overloadedRetryAfter/4 {
		t.Errorf("the least urgent may return after %v to %v", early, late)
	}
}

// TestEqualPrioritiesKeepTheOrder guards against requests that are held back, or return at other
// times than before, where all requests have the same priority.
func TestEqualPrioritiesKeepTheOrder(t *testing.T) {
	t.Parallel()
	c := newContest(t, 2, 4, 3)
	c.run(20 * time.Millisecond)
	for _, d := range c.delays[3] {
		if d > overloadedRetryAfter || d < overloadedRetryAfter/2 {
			t.Errorf("a refused request may return after %v, want %v", d, overloadedRetryAfter)
		}
	}
	if n := c.instances[0].router.counters; n.heldRounds.Count() > 0 || n.refusedForUrgent.Count() > 0 || len(c.delays[3]) == 0 {
		t.Errorf("%d rounds held, %d early refusals, %d refusals", n.heldRounds.Count(), n.refusedForUrgent.Count(), len(c.delays[3]))
	}
}

// TestRequestThatCannotEndInTimeIsRefusedAtOnce guards against a request that waits for memory
// though its answer can't be complete before the deadline.
func TestRequestThatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	c := newContest(t, 1, 0, 0, 5)
	h := c.instances[0]
	for range similarSamples {
		h.router.durations.record("model", 50, 5*time.Second)
	}
	h.router.Pressure.Record("model", 5, time.Now().Add(time.Minute))
	if c.send(h, 0); len(c.delays[0]) != 1 || len(h.sizes) > 0 {
		t.Errorf("%d refusals after %d attempts, want one refusal without an attempt", len(c.delays[0]), len(h.sizes))
	}
}

// TestUrgentRequestGoesFirstThoughLate guards against an urgent request that waits for the memory
// that is given to less urgent ones, as it is late or expensive.
func TestUrgentRequestGoesFirstThoughLate(t *testing.T) {
	now := time.Now()
	var r reserveQueues
	urgent := &waiter{cost: 100, reserveBy: now.Add(-time.Second), class: admission.ClassOf(-7)}
	less := &waiter{cost: 1, reserveBy: now.Add(time.Second), class: admission.ClassOf(1 << 40)}
	queue := r.enqueue("s", urgent)
	r.enqueue("s", less)
	for _, w := range []*waiter{urgent, less} {
		queue.recordArrival(w, now)
	}
	queue.recordRefusal(now)
	if !queue.mayReserve(urgent, now) {
		t.Error("a late urgent request may not reserve while less urgent ones are present")
	}
	for range concurrentReservers {
		r.enqueue("s", &waiter{cost: 100, reserveBy: now})
	}
	if queue.mayReserve(less, now) {
		t.Error("a less urgent request may reserve before more urgent ones")
	}
	if less.open = true; !queue.mayReserve(less, now) {
		t.Error("an open attempt must not wait for more urgent requests")
	}
}

// TestStarvedLargeRequestsAreNotHeldBack guards against large requests that are served less than
// half as often as their class, as smaller ones take the memory before it is enough for them.
func TestStarvedLargeRequestsAreNotHeldBack(t *testing.T) {
	now := time.Now()
	for _, classes := range []admission.Class{1, 2} {
		var r reserveQueues
		small, large := &waiter{cost: 1}, &waiter{cost: 10}
		queue := r.enqueue("s", small)
		for range 10 {
			queue.recordArrival(small, now)
			queue.recordArrival(large, now)
			queue.recordArrival(&waiter{class: classes - 1}, now)
			queue.recordOutcome(small, true, now)
			queue.recordOutcome(large, false, now)
		}
		if got, want := queue.isStarved(large, now), classes > 1; got != want || queue.isStarved(small, now) {
			t.Errorf("%d classes: large requests starved %v, want %v", classes, got, want)
		}
	}
}
