package budget

import (
	"slices"
	"sort"
	"time"

	"monsoonfork/core/ident"
)

// maxSegments bounds the number of intervals that one pool keeps.
const maxSegments = 48

// Pool holds the minted tokens of one organisation as intervals that do not
// overlap, oldest first. Where added intervals overlap, their rates are
// summed. A pool does no locking and reads no clock.
type Pool struct {
	segments []Interval
}

// Add puts minted tokens into the pool.
func (p *Pool) Add(intervals ...Interval) {
	for _, iv := range intervals {
		p.addInterval(iv)
	}
	if len(p.segments) > maxSegments {
		p.compact()
	}
}

// Expire drops the tokens that are older than window, and returns their
// number.
func (p *Pool) Expire(now Instant, window time.Duration) (dropped float64) {
	oldest := now.Add(-window)
	remaining := p.segments[:0]
	for _, iv := range p.segments {
		rest := iv.mintedSince(oldest)
		if rest.empty() {
			dropped += iv.tokens()
			continue
		}
		dropped += iv.tokens() - rest.tokens()
		remaining = append(remaining, rest)
	}
	p.segments = remaining
	return dropped
}

// Amount returns the number of tokens in the pool, including those that have
// expired since the last call of Expire.
func (p *Pool) Amount() float64 { return totalTokens(p.segments) }

// Charge withdraws cost tokens, the oldest first. If there are not enough
// tokens younger than window, it withdraws nothing and returns false.
func (p *Pool) Charge(now Instant, window time.Duration, cost float64) ([]Interval, bool) {
	p.Expire(now, window)
	if p.Amount() < cost {
		return nil, false
	}
	return p.Withdraw(cost), true
}

// Withdraw withdraws up to amount tokens, the oldest first.
func (p *Pool) Withdraw(amount float64) []Interval {
	withdrawn, rest := splitOldest(p.segments, amount)
	p.segments = rest
	return withdrawn
}

// splitOldest divides intervals into the oldest amount tokens and the rest.
// The results do not share memory with each other.
func splitOldest(intervals []Interval, amount float64) (first, rest []Interval) {
	missing := amount
	for i, iv := range intervals {
		if missing <= 0 {
			rest = append(rest, intervals[i:]...)
			break
		}
		head, tail := iv.split(missing)
		missing -= head.tokens()
		first = append(first, head)
		if !tail.empty() {
			rest = append(rest, tail)
		}
	}
	return first, rest
}

// addInterval merges one interval into the segments.
func (p *Pool) addInterval(iv Interval) {
	if iv.empty() {
		return
	}
	if n := len(p.segments); n == 0 || p.segments[n-1].End <= iv.Start {
		p.appendSegment(iv)
		return
	}
	bounds := []Instant{iv.Start, iv.End}
	for _, s := range p.segments {
		bounds = append(bounds, s.Start, s.End)
	}
	sort.Slice(bounds, func(i, j int) bool { return bounds[i] < bounds[j] })
	intervals := slices.Concat(p.segments, []Interval{iv})
	p.segments = make([]Interval, 0, len(intervals)+1)
	for i := 1; i < len(bounds); i++ {
		p.appendSegment(Interval{Start: bounds[i-1], End: bounds[i], Rate: rateWithin(intervals, bounds[i-1], bounds[i])})
	}
}

// rateWithin returns the sum of the rates of the intervals that cover the
// whole time from start to end.
func rateWithin(intervals []Interval, start, end Instant) ident.TokensPerSecond {
	var sum ident.TokensPerSecond
	for _, iv := range intervals {
		if iv.Start <= start && end <= iv.End {
			sum += iv.Rate
		}
	}
	return sum
}

// appendSegment appends a segment that is not older than the last one, and
// merges the two if they are adjacent and have the same rate.
func (p *Pool) appendSegment(iv Interval) {
	if iv.empty() {
		return
	}
	if n := len(p.segments); n > 0 {
		last := &p.segments[n-1]
		if last.End == iv.Start && last.Rate == iv.Rate {
			last.End = iv.End
			return
		}
	}
	p.segments = append(p.segments, iv)
}

// compact halves the number of segments. Tokens may only become older by it,
// so that none outlives its window.
func (p *Pool) compact() {
	compacted := make([]Interval, 0, len(p.segments)/2+1)
	for i := 0; i < len(p.segments); i += 2 {
		if i+1 == len(p.segments) {
			compacted = append(compacted, p.segments[i])
			break
		}
		compacted = append(compacted, joinSegments(p.segments[i], p.segments[i+1]))
	}
	p.segments = compacted
}

// joinSegments replaces two successive intervals by one with the same number
// of tokens, none of them younger than before.
func joinSegments(a, b Interval) Interval {
	sum := a.tokens() + b.tokens()
	mean := ident.TokensPerSecond(sum / b.End.Sub(a.Start).Seconds())
	if mean >= a.Rate {
		return Interval{Start: a.Start, End: b.End, Rate: mean}
	}
	length := time.Duration(sum / float64(a.Rate) * float64(time.Second))
	return Interval{Start: a.Start, End: a.Start.Add(length), Rate: a.Rate}
}
