package soak

import "math/rand/v2"

// faultSampler draws faults without replacement in random order. It draws once from
// each group before it draws from any again, and each fault of a group once before
// any again, so that short runs reach every component of the fleet.
type faultSampler struct {
	random        *rand.Rand
	groups        []*faultGroup
	pendingGroups []*faultGroup // Groups not drawn from yet in this round.
}

// faultGroup holds the faults of one group of components.
type faultGroup struct {
	faults  []faultSpec
	pending []faultSpec // Faults not drawn yet since the last reshuffle.
}

// groupNumber returns the number of the group that a kind of target belongs to.
func groupNumber(kind targetKind) int {
	switch kind {
	case prefillTarget, decodeTarget:
		return 0
	case serviceTarget:
		return 1
	case storeTarget, listTarget:
		return 2
	case instanceTarget, domainTarget:
		return 3
	default:
		return 4
	}
}

// newFaultSampler returns a sampler of faults.
func newFaultSampler(random *rand.Rand, specs []faultSpec) *faultSampler {
	s := &faultSampler{random: random}
	byNumber := make(map[int]*faultGroup)
	for _, spec := range specs {
		number := groupNumber(spec.kind)
		if spec.editsText {
			number = groupNumber(textTarget)
		}
		if byNumber[number] == nil {
			byNumber[number] = &faultGroup{}
			s.groups = append(s.groups, byNumber[number])
		}
		byNumber[number].faults = append(byNumber[number].faults, spec)
	}
	return s
}

// next draws a fault; ok is false when the sampler has no faults.
func (s *faultSampler) next() (spec faultSpec, ok bool) {
	if len(s.groups) == 0 {
		return faultSpec{}, false
	}
	if len(s.pendingGroups) == 0 {
		s.pendingGroups = shuffled(s.random, s.groups)
	}
	g := s.pendingGroups[0]
	s.pendingGroups = s.pendingGroups[1:]
	if len(g.pending) == 0 {
		g.pending = shuffled(s.random, g.faults)
	}
	spec = g.pending[0]
	g.pending = g.pending[1:]
	return spec, true
}

// shuffled returns a copy of all in random order.
func shuffled[T any](random *rand.Rand, all []T) []T {
	order := append([]T(nil), all...)
	random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}
