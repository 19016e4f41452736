package coldlimit

import (
	"fmt"
	"math"
	"time"

	"monsoonfork/core/ident"
)

const (
	// maxOpenShare is the largest part of a slot in which it may be used. The rest keeps uses apart
	// where clocks differ, or where a stream follows its reservation late.
	maxOpenShare = 0.5
	// minSpareRatio is the least that the bound leaves for the open parts of slots, relative to the
	// uses in a second. Where it would leave less, the slots are longer: without an open part, the
	// engine would never be used.
	minSpareRatio = 0.25
	// maxSlotLength bounds the length of slots if the configured rate is very low.
	maxSlotLength = time.Hour
)

// plan divides time into slots for a cold engine. Each failure domain has its own slots, which
// are shifted against those of the others, and may use the engine once in the first part of
// each.
type plan struct {
	length  time.Duration // Of a slot.
	open    time.Duration // For how long a slot may be used.
	domains int
}

// slot is one slot of a failure domain.
type slot struct {
	number int64
	length time.Duration
}

// newPlan returns the plan for a rate of requests a second, for uses that send a number of
// requests each. On average the engine gets the rate. A second meets at most
// domains/length + domains*share + 1 open parts of slots, so the share keeps the requests in any
// second within the bounds.
func newPlan(rate float64, requestsPerUse, domains int, b Bounds) plan {
	uses := rate / float64(requestsPerUse)
	limit := max(rate, rate*b.Overshoot+b.Slack) / float64(requestsPerUse)
	spare := math.Max(0, limit-1)
	if spare < (1+minSpareRatio)*uses {
		uses = spare / (1 + minSpareRatio)
	}
	share := min(maxOpenShare, (spare-uses)/float64(domains))
	seconds := min(float64(domains)/uses, maxSlotLength.Seconds())
	length := time.Duration(seconds * float64(time.Second))
	return plan{length: length, open: time.Duration(share * float64(length)), domains: domains}
}

// openSlot returns the slot at a time of the failure domain with the given position, and whether
// it may be used at that time.
func (p plan) openSlot(now time.Time, position int) (slot, bool) {
	if p.length <= 0 {
		return slot{}, false
	}
	shift := int64(p.length) * int64(position) / int64(p.domains)
	elapsed := now.UnixNano() - shift
	number, within := elapsed/int64(p.length), elapsed%int64(p.length)
	return slot{number, p.length}, within < int64(p.open)
}

// slotKey returns the key whose owner among the instances of a failure domain may use a slot of
// an engine.
func slotKey(id ident.EndpointID, number int64) string {
	return fmt.Sprintf("cold/%s/%d", id, number)
}
