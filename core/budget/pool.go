package budget

import (
	"slices"
	"sort"
	"time"

	"monsoonfork/core/ident"
)

// maxSegments bounds the intervals that one pool keeps.
const maxSegments = 48

// Pool holds minted tokens of one organisation as intervals that do not
// overlap, oldest first: overlapping intervals are added up to the sum of
// their rates. A pool has no lock and no clock of its own.
type Pool struct {
	segments []Interval
}

// Add puts minted tokens into the pool.
func (p *Pool) Add(intervals ...Interval) {
	for _, iv := range intervals {
		p.add(iv)
	}
	if len(p.segments) > maxSegments {
		p.compact()
	}
}

// Expire drops the tokens that are older than window.
func (p *Pool) Expire(now Instant, window time.Duration) (dropped float64) {
	oldest := now.Add(-window)
	kept := p.segments[:0]
	for _, iv := range p.segments {
		rest := iv.after(oldest)
		if rest.empty() {
			dropped += iv.amount()
			continue
		}
		dropped += iv.amount() - rest.amount()
		kept = append(kept, rest)
	}
	p.segments = kept
	return dropped
}

// Amount returns the tokens in the pool, expired ones included.
func (p *Pool) Amount() float64 { return total(p.segments) }

// Charge takes cost tokens out of the pool, the oldest first. It takes nothing
// and returns false when the tokens younger than window do not suffice.
func (p *Pool) Charge(now Instant, window time.Duration, cost float64) ([]Interval, bool) {
	p.Expire(now, window)
	if p.Amount() < cost {
		return nil, false
	}
	return p.Take(cost), true
}

// Take takes up to amount tokens out of the pool, the oldest first.
func (p *Pool) Take(amount float64) []Interval {
	taken, rest := cut(p.segments, amount)
	p.segments = rest
	return taken
}

// cut divides intervals into the oldest amount tokens and the rest. Neither
// result shares memory with the other.
func cut(intervals []Interval, amount float64) (first, rest []Interval) {
	left := amount
	for i, iv := range intervals {
		if left <= 0 {
			rest = append(rest, intervals[i:]...)
			break
		}
		head, tail := iv.split(left)
		left -= head.amount()
		first = append(first, head)
		if !tail.empty() {
			rest = append(rest, tail)
		}
	}
	return first, rest
}

// add merges one interval into the segments.
func (p *Pool) add(iv Interval) {
	if iv.empty() {
		return
	}
	if n := len(p.segments); n == 0 || p.segments[n-1].End <= iv.Start {
		p.push(iv)
		return
	}
	bounds := []Instant{iv.Start, iv.End}
	for _, s := range p.segments {
		bounds = append(bounds, s.Start, s.End)
	}
	sort.Slice(bounds, func(i, j int) bool { return bounds[i] < bounds[j] })
	all := slices.Concat(p.segments, []Interval{iv})
	p.segments = make([]Interval, 0, len(all)+1)
	for i := 1; i < len(bounds); i++ {
		p.push(Interval{Start: bounds[i-1], End: bounds[i], Rate: rateWithin(all, bounds[i-1], bounds[i])})
	}
}

// rateWithin returns the sum of the rates of the intervals that cover all of
// the time from start to end.
func rateWithin(intervals []Interval, start, end Instant) ident.TokensPerSecond {
	var sum ident.TokensPerSecond
	for _, iv := range intervals {
		if iv.Start <= start && end <= iv.End {
			sum += iv.Rate
		}
	}
	return sum
}

// push appends a segment that is not older than the last one, and joins the
// two when they are one stretch of minted time.
func (p *Pool) push(iv Interval) {
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

// compact halves the number of segments. Tokens only become older by it, so
// that none lives longer than its window.
func (p *Pool) compact() {
	joined := make([]Interval, 0, len(p.segments)/2+1)
	for i := 0; i < len(p.segments); i += 2 {
		if i+1 == len(p.segments) {
			joined = append(joined, p.segments[i])
			break
		}
		joined = append(joined, join(p.segments[i], p.segments[i+1]))
	}
	p.segments = joined
}

// join replaces two successive intervals by one with the same tokens, none of
// them younger than before.
func join(a, b Interval) Interval {
	sum := a.amount() + b.amount()
	mean := ident.TokensPerSecond(sum / b.End.Sub(a.Start).Seconds())
	if mean >= a.Rate {
		return Interval{Start: a.Start, End: b.End, Rate: mean}
	}
	length := time.Duration(sum / float64(a.Rate) * float64(time.Second))
	return Interval{Start: a.Start, End: a.Start.Add(length), Rate: a.Rate}
}
