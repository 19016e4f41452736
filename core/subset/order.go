// Package subset chooses the engines that an instance prefers, so that it keeps its connections
// to few of them and all instances of a failure domain together use all of them evenly.
package subset

import (
	"cmp"
	"hash/fnv"
	"slices"

	"monsoonfork/core/ident"
)

// Order returns the engines that an instance prefers, the most preferred first, at most size. All
// instances with the same members and engines compute orders that fit together: for each length,
// the first engines of all members contain each engine almost equally often. The result is empty
// if self is not a member.
func Order(self ident.InstanceID, members []ident.InstanceID, engines []ident.EndpointID, size int) []ident.EndpointID {
	if len(engines) == 0 || !slices.Contains(members, self) {
		return nil
	}
	a := assignment{engines: engines, uses: make([]int, len(engines)), chosen: make(map[ident.InstanceID][]int, len(members))}
	for round := range min(size, len(engines)) {
		capacity := ((round+1)*len(members) + len(engines) - 1) / len(engines)
		for _, member := range inTurn(members, round) {
			a.assign(member, capacity)
		}
	}
	order := make([]ident.EndpointID, 0, size)
	for _, n := range a.chosen[self] {
		order = append(order, engines[n])
	}
	return order
}

// assignment is the assignment of engines to the members of a failure domain.
type assignment struct {
	engines []ident.EndpointID
	uses    []int                      // How many members each engine is assigned to.
	chosen  map[ident.InstanceID][]int // The engines of each member.
}

// assign assigns to a member the engine with its highest weight, among those that are assigned to
// fewer than capacity members; if it has all of these, the one that is assigned to the fewest.
func (a *assignment) assign(member ident.InstanceID, capacity int) {
	best, bestWeight := -1, uint64(0)
	least := -1
	for n, engine := range a.engines {
		if slices.Contains(a.chosen[member], n) {
			continue
		}
		if least < 0 || a.uses[n] < a.uses[least] {
			least = n
		}
		if a.uses[n] >= capacity {
			continue
		}
		if w := weight(string(member), string(engine)); best < 0 || w > bestWeight {
			best, bestWeight = n, w
		}
	}
	if best < 0 {
		best = least
	}
	a.uses[best]++
	a.chosen[member] = append(a.chosen[member], best)
}

// inTurn returns the members in the order in which they choose in a round. It differs between
// rounds, so that no member always chooses last.
func inTurn(members []ident.InstanceID, round int) []ident.InstanceID {
	turn := slices.Clone(members)
	salt := string(rune('0' + round))
	slices.SortFunc(turn, func(a, b ident.InstanceID) int {
		return cmp.Or(cmp.Compare(weight(string(a), salt), weight(string(b), salt)), cmp.Compare(a, b))
	})
	return turn
}

// weight returns the rendezvous weight of a member for a key.
func weight(member, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(member)) // Never fails.
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return mix(h.Sum64())
}

// mix is the 64-bit finaliser of MurmurHash3. FNV alone mixes the last bytes of its input badly.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
