package soak

import "math/rand/v2"

// deck gives the rows of the table of faults in random order, so that every part
// of the fleet gets its faults early: it goes through the groups in rounds, and
// within a group gives each row once before any comes again.
type deck struct {
	random *rand.Rand
	groups []*group
	round  []*group // Those that come yet in this round.
}

// group is the rows of one part of the fleet.
type group struct {
	rows []faultEntry
	rest []faultEntry // Those that come yet.
}

// groupOf returns the number of the group that a sort of parts belongs to.
func groupOf(s sort) int {
	switch s {
	case onPrefill, onDecode:
		return 0
	case onService:
		return 1
	case onStore, onList:
		return 2
	case onInstance, onDomain:
		return 3
	default:
		return 4
	}
}

// newDeck returns a deck of the rows.
func newDeck(random *rand.Rand, rows []faultEntry) *deck {
	d := &deck{random: random}
	byNumber := make(map[int]*group)
	for _, row := range rows {
		n := groupOf(row.sort)
		if row.edits {
			n = groupOf(onText)
		}
		if byNumber[n] == nil {
			byNumber[n] = &group{}
			d.groups = append(d.groups, byNumber[n])
		}
		byNumber[n].rows = append(byNumber[n].rows, row)
	}
	return d
}

// next returns the next row; ok is false when the deck has none at all.
func (d *deck) next() (row faultEntry, ok bool) {
	if len(d.groups) == 0 {
		return faultEntry{}, false
	}
	if len(d.round) == 0 {
		d.round = shuffled(d.random, d.groups)
	}
	g := d.round[0]
	d.round = d.round[1:]
	if len(g.rest) == 0 {
		g.rest = shuffled(d.random, g.rows)
	}
	row = g.rest[0]
	g.rest = g.rest[1:]
	return row, true
}

// shuffled returns the elements of all in random order.
func shuffled[T any](random *rand.Rand, all []T) []T {
	order := append([]T(nil), all...)
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}
