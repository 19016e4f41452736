package share

import (
	"testing"
	"time"
)

// TestUseOfSeveralInstancesInsideRateIsAdmitted guards against refusals of an organisation that
// asks for half of its rate at several instances: what accrues at the others, whose buckets are
// full until they know of its admissions, is lost there.
func TestUseOfSeveralInstancesInsideRateIsAdmitted(t *testing.T) {
	const tolerated = 0.005 // Fraction of requests.
	for _, members := range []int{1, 3, 15} {
		instances := 4 * members
		wrongful, asked := 0, 0
		for seed := range uint64(480 / instances) {
			l := newLoadOn(newFleet(4, members), seed)
			l.run(traffic{rate: 47_000, perSecond: 2, cost: 12_000, instances: instances}, 20*time.Second)
			wrongful += l.wrongful
			asked += l.refused + len(l.admitted)
		}
		if float64(wrongful) > tolerated*float64(asked) {
			t.Errorf("requests at %d instances: %d of %d refused wrongfully", instances, wrongful, asked)
		}
	}
}
