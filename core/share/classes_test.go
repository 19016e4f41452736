package share

import (
	"testing"
	"time"

	"monsoonfork/core/ident"
)

// classTraffic is the requests of one priority of an organisation.
type classTraffic struct {
	priority  int
	perSecond float64 // Tokens asked for on average, as a part of the rate.
	cost      ident.Tokens
}

// classResult is what became of the requests of one priority, in tokens and in requests.
type classResult struct {
	asked, admitted   ident.Tokens
	requests, refused int
}

// admittedShare returns the part of the tokens that was admitted.
func (r classResult) admittedShare() float64 { return float64(r.admitted) / float64(max(r.asked, 1)) }

// add adds another result.
func (r classResult) add(o classResult) classResult {
	return classResult{r.asked + o.asked, r.admitted + o.admitted, r.requests + o.requests, r.refused + o.refused}
}

const (
	classRate = 47_000
	classTime = 20 * time.Second
)

// checkRate checks that the admitted tokens are within the rate.
func (l *load) checkRate(t *testing.T) {
	t.Helper()
	if most := l.mostIn(quotaWindow); float64(most) > (classRate*quotaWindow.Seconds()+classRate)*(1+quotaOvershoot) {
		t.Errorf("%d instances: %d tokens admitted in %v", len(l.ids), most, quotaWindow)
	}
}

// playSeeds plays requests of several priorities with some seeds, and returns the sums for each
// priority, the tokens admitted and the refusals for which a single token bucket had the tokens.
func playSeeds(t *testing.T, members int, list ...classTraffic) (sums []classResult, total ident.Tokens, wrongful int) {
	t.Helper()
	sums = make([]classResult, len(list))
	for seed := range uint64(4) {
		l := newLoadOn(newFleet(4, members), seed)
		l.playClasses(list, classTime/4)
		l.admitted, l.wrongful = nil, 0
		for k, r := range l.playClasses(list, classTime) {
			sums[k] = sums[k].add(r)
		}
		l.checkRate(t)
		total += l.total()
		wrongful += l.wrongful
	}
	t.Logf("%d instances: %+v", 4*members, sums)
	return sums, total, wrongful
}

// playClasses plays requests at all instances for a time, each of them once.
func (l *load) playClasses(list []classTraffic, length time.Duration) []classResult {
	o := organisation(classRate, classRate)
	results := make([]classResult, len(list))
	for i := range int(length / loadStep) {
		l.fleet.now = l.fleet.now.Add(loadStep)
		l.single.setLimit(classRate, classRate, 1, l.fleet.now)
		for k, d := range list {
			if l.random.Float64() >= d.perSecond*classRate/float64(d.cost)*loadStep.Seconds() {
				continue
			}
			cost := ident.Tokens(float64(d.cost) * (0.5 + l.random.Float64()))
			r := classResult{asked: cost, requests: 1}
			if l.fleet.shares[l.ids[l.random.IntN(len(l.ids))]].Admit(o, cost, d.priority).Granted {
				r.admitted = cost
				l.single.level -= float64(cost)
				l.admitted = append(l.admitted, admittedRequest{at: l.fleet.now, cost: cost})
			} else if r.refused = 1; l.single.level >= float64(cost) {
				l.wrongful++
			}
			results[k] = results[k].add(r)
		}
		l.report(i)
	}
	return results
}

// TestUrgentRequestsInsideRateAreAdmitted guards against the refusal of urgent requests while less
// urgent ones of the same organisation get the tokens.
func TestUrgentRequestsInsideRateAreAdmitted(t *testing.T) {
	for _, members := range []int{1, 3, 15} {
		got, total, _ := playSeeds(t, members, classTraffic{0, 0.25, 2500}, classTraffic{1, 0.3, 4000}, classTraffic{2, 1.2, 5000})
		urgent, less, least := got[0].admittedShare(), got[1].admittedShare(), got[2].admittedShare()
		if urgent < 0.98 || less < 0.8 || least > less/2 || float64(total) < 0.9*classRate*4*classTime.Seconds() {
			t.Errorf("%d instances: %.2f, %.2f and %.2f admitted, %d tokens", 4*members, urgent, less, least, total)
		}
	}
}

// TestRequestsOfAllPrioritiesInsideRateAreAdmitted guards against refusals because of reserved
// tokens while the organisation asks for no more than its rate.
func TestRequestsOfAllPrioritiesInsideRateAreAdmitted(t *testing.T) {
	const tolerated = 0.005 // Fraction of requests.
	for _, members := range []int{1, 15} {
		got, _, wrongful := playSeeds(t, members, classTraffic{0, 0.2, 2500}, classTraffic{2, 0.3, 5000})
		if asked := got[0].requests + got[1].requests; float64(wrongful) > tolerated*float64(asked) {
			t.Errorf("%d instances: %d of %d refused wrongfully", 4*members, wrongful, asked)
		}
	}
}

// TestLessUrgentRequestsDoNotStarve guards against less urgent requests that get no tokens while
// urgent ones alone ask for more than the rate.
func TestLessUrgentRequestsDoNotStarve(t *testing.T) {
	for _, members := range []int{1, 15} {
		got, _, _ := playSeeds(t, members, classTraffic{0, 1.5, 2500}, classTraffic{7, 1, 4000})
		all, least := got[0].add(got[1]).admittedShare(), got[1].admittedShare()
		if least < all/4 || least > got[0].admittedShare() {
			t.Errorf("%d instances: %.2f of the least urgent tokens admitted, %.2f of all", 4*members, least, all)
		}
	}
}

// TestEqualPrioritiesShareTheRateAsBefore guards against a change for an organisation whose requests
// have one priority, whichever it is.
func TestEqualPrioritiesShareTheRateAsBefore(t *testing.T) {
	var results []classResult
	for _, priority := range []int{0, 5} {
		l := newLoadOn(newFleet(2, 3), 1)
		results = append(results, l.playClasses([]classTraffic{{priority, 2, 4000}}, 10*time.Second)...)
	}
	if results[0] != results[1] {
		t.Errorf("%+v with the most urgent priority, %+v with another one", results[0], results[1])
	}
}

// TestIsolatedInstanceReservesForUrgentRequests guards against an instance that admits urgent
// requests no more often than others because it knows of no other instance.
func TestIsolatedInstanceReservesForUrgentRequests(t *testing.T) {
	f := newFleet(1, 2)
	f.isolated["a0"] = true
	l := newLoadOn(f, 1)
	l.ids = []ident.InstanceID{"a0"}
	got := l.playClasses([]classTraffic{{0, 0.2, 2000}, {3, 1, 2000}}, 20*time.Second)
	if urgent, less := got[0].admittedShare(), got[1].admittedShare(); urgent < 0.95 || less > 0.5 {
		t.Errorf("%.2f of urgent and %.2f of less urgent tokens admitted", urgent, less)
	}
}

// TestUsageOfOldProcessHasNoClasses guards against a wrong sum of classes in the messages of a
// process that does not report them, or that reports more of them.
func TestUsageOfOldProcessHasNoClasses(t *testing.T) {
	old := usageOf(&Usage{Organisation: "o", Asked: 10})
	long := usageOf(&Usage{AskedByPriority: []int64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}})
	if old.byClass != (classTokens{}) || len(old.message("o").GetAskedByPriority()) != 0 || long.byClass[9] != 9 || len(long.message("o").GetAskedByPriority()) != 10 {
		t.Errorf("usage %+v, %+v", old, long)
	}
	var d classDemand
	now := time.Now()
	d.add(old.byClass, old.asked, now)
	if more, less, all := d.split(1, now); more != 0 || less != 0 || all != 10 {
		t.Errorf("demand %v and %v of %v", more, less, all)
	}
}

// TestSmallRequestsAreNotHeldBackForUrgentOnes guards against small requests that are refused for
// tokens which are reserved for large urgent ones: they take little, and are as many as those.
func TestSmallRequestsAreNotHeldBackForUrgentOnes(t *testing.T) {
	urgent := classTraffic{priority: 0, perSecond: 1.5, cost: 5500}
	small := classTraffic{priority: 2, perSecond: 0.1, cost: 200}
	sums, _, _ := playSeeds(t, 3, urgent, small)
	if r := sums[1]; r.refused > r.requests/50 {
		t.Errorf("%d of %d small requests were refused", r.refused, r.requests)
	}
}
