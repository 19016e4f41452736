package orders

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/config"
	"monsoonfork/core/engineapi"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// movedText returns revision n of a configuration text whose engine is in the given domain.
func movedText(n ident.Revision, domain ident.DomainID, checksFencing bool) *config.Snapshot {
	t := newTestText("e")
	t.Engines[0].Domain, t.Engines[0].ChecksFencing = domain, checksFencing
	return &config.Snapshot{Revision: n, Text: t}
}

// orderTime is an order with the time at which it was sent.
type orderTime struct {
	from ident.DomainID
	at   time.Time
}

// runMove lets the controllers of two domains work while an engine moves from the first to
// the second, whose controller has the new text earlier by lead, and the texts between the old
// and the new one before that. It returns the orders, whose outcomes are unknown.
func runMove(t *testing.T, checksFencing bool, lead time.Duration, between ...*config.Snapshot) []orderTime {
	t.Helper()
	now := newClock()
	var sent []orderTime
	var controllers []*Controller
	for _, domain := range []ident.DomainID{"d", "d2"} {
		c := newController(domain, "a", newFakeStore(now).leaseStore(DefaultTuning().LeaseTTL), log.NewNopLogger(), WithNow(now.time))
		c.IsOwner = func() bool { return true }
		c.Requests = func(context.Context, ident.Address) ([]engineapi.HeldRequest, error) { return nil, nil }
		c.State = func(context.Context, ident.Address) (engineapi.State, error) {
			return engineapi.State{Role: "decode"}, nil
		}
		before := movedText(1, "d", checksFencing)
		c.Snapshot = func() *config.Snapshot { return before }
		c.Send = func(_ context.Context, _ ident.Address, _ engineapi.Order, l engineapi.OrderLimits) error {
			if err := l.BeforeSend(); err != nil {
				return err
			}
			sent = append(sent, orderTime{domain, now.time()})
			return fault.New(fault.EndpointTimeout, "no answer")
		}
		controllers = append(controllers, c)
	}
	run := func(d time.Duration) {
		for end := now.time().Add(d); now.time().Before(end); now.advance(100 * time.Millisecond) {
			for _, c := range controllers {
				c.leases.maintain(t.Context(), true)
				c.reconcileDue()
				c.wg.Wait()
			}
		}
	}
	run(10 * time.Second)
	for _, s := range between {
		controllers[1].Snapshot = func() *config.Snapshot { return s }
		run(200 * time.Millisecond)
	}
	for _, c := range []*Controller{controllers[1], controllers[0]} {
		after := movedText(3, "d2", checksFencing)
		c.Snapshot = func() *config.Snapshot { return after }
		run(lead)
	}
	run(30 * time.Second)
	return sent
}

// TestMovedEngineGetsOrdersOfOneDomain guards against two orders that overlap at an engine
// which ignores fencing numbers and is moved to another domain: the lease of its new domain
// says nothing of the orders that the old one has sent, or sends until it has the new text.
func TestMovedEngineGetsOrdersOfOneDomain(t *testing.T) {
	for _, lead := range []time.Duration{100 * time.Millisecond, time.Second, 3500 * time.Millisecond} {
		checkMove(t, lead, runMove(t, false, lead))
	}
}

// TestEngineMovedInTwoStepsGetsOrdersOfOneDomain guards against two orders that overlap at an
// engine which one text removes from its domain and the next one lists in another domain.
func TestEngineMovedInTwoStepsGetsOrdersOfOneDomain(t *testing.T) {
	unlisted := &config.Snapshot{Revision: 2, Text: newTestText()}
	for _, lead := range []time.Duration{100 * time.Millisecond, time.Second, 3500 * time.Millisecond} {
		checkMove(t, lead, runMove(t, false, lead, unlisted))
	}
}

// TestEngineListedAgainWaitsForOrdersOfItsOldDomain guards against an order to an engine that was
// in no domain for longer than its old one may use the old text, but not for as long as an order
// that was sent last may take.
func TestEngineListedAgainWaitsForOrdersOfItsOldDomain(t *testing.T) {
	now := newClock()
	c := newController("d2", "a", newFakeStore(now).leaseStore(DefaultTuning().LeaseTTL), log.NewNopLogger(), WithNow(now.time))
	before := movedText(1, "d", false)
	c.noteMoves(before)
	end := latestOrderEnd(now.time().Add(oldTextTime), c.tuning, before.Text.Engines[0])
	c.noteMoves(&config.Snapshot{Revision: 2, Text: newTestText()})
	now.advance(oldTextTime + 100*time.Millisecond)
	c.noteMoves(movedText(3, "d2", false))
	if rec := c.engines["e"]; rec == nil || rec.notBefore.Before(end) {
		t.Errorf("record %+v, want no order before %v", rec, end)
	}
}

// TestEndedOrderKeepsDelayOfMovedEngine guards against the loss of the delay of an engine that is
// moved to another domain and back while an order of this domain is in progress.
func TestEndedOrderKeepsDelayOfMovedEngine(t *testing.T) {
	now := newClock()
	c := newController("d2", "a", newFakeStore(now).leaseStore(DefaultTuning().LeaseTTL), log.NewNopLogger(), WithNow(now.time))
	listed := movedText(1, "d2", false)
	e := listed.Text.Engines[0]
	c.noteMoves(listed)
	c.recordOf(e, now.time())
	order := difference{kind: engineapi.LoadModel, model: "m", version: "v2"}
	if reason := c.reserve(e, order); reason != "" {
		t.Fatalf("the order has to wait: %s", reason)
	}
	c.noteMoves(movedText(2, "d", false))
	c.noteMoves(movedText(3, "d2", false))
	want := c.engines["e"].notBefore
	c.unreserve(e, order, time.Time{})
	if got := c.engines["e"].notBefore; got.Before(want) || want.IsZero() {
		t.Errorf("the next order may be sent at %v, want %v", got, want)
	}
}

// checkMove checks that the orders of runMove do not overlap, and that the last one is of the
// second domain.
func checkMove(t *testing.T, lead time.Duration, sent []orderTime) {
	t.Helper()
	e := movedText(1, "d", false).Text.Engines[0]
	for i := range sent {
		if i == 0 || sent[i].from == sent[i-1].from {
			continue
		}
		if end := latestOrderEnd(sent[i-1].at, DefaultTuning(), e); sent[i].at.Before(end) {
			t.Errorf("lead %v: domain %s sent an order %v before the last one of %s had ended", lead, sent[i].from, end.Sub(sent[i].at), sent[i-1].from)
		}
	}
	if last := sent[len(sent)-1]; last.from != "d2" {
		t.Errorf("lead %v: the last order is of domain %s, want d2", lead, last.from)
	}
}

// TestMovedEngineThatChecksFencingGetsOrdersAtOnce guards against an engine without orders
// after a move although it refuses those of its old domain by itself.
func TestMovedEngineThatChecksFencingGetsOrdersAtOnce(t *testing.T) {
	const lead = time.Second
	sent := runMove(t, true, lead)
	for _, o := range sent {
		if o.from == "d2" {
			if late := o.at.Sub(newClock().time().Add(10 * time.Second)); late > lead {
				t.Errorf("the first order of the new domain was sent %v after the move", late)
			}
			return
		}
	}
	t.Error("the new domain sent no order")
}
