package engines

import (
	"hash/fnv"
	"strconv"

	"monsoonfork/core/ident"
)

// Parts is the number of parts that a table is compared by: an engine belongs to
// the part that its id falls into. A part of a list of 6,000 engines is about 50 of
// them, and the sums of all parts are smaller than ten entries.
const Parts = 128

// Sums are the sums of a table's parts. Tables with equal sums hold the same entries.
type Sums [Parts]uint32

// partOf returns the part of an engine.
func partOf(id ident.EndpointID) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // Never fails.
	return int(h.Sum32() % Parts)
}

// sum returns what an entry adds to the sum of its part. Its revision does not
// count: it may differ where nothing else does.
func (e Entry) sum() uint32 {
	h := fnv.New32a()
	for _, field := range []string{
		string(e.ID), string(e.Service), string(e.Address), string(e.Domain), strconv.Itoa(e.Slots),
		strconv.Itoa(int(e.State)), strconv.Itoa(int(e.Stage)), strconv.FormatInt(e.Started, 10),
	} {
		_, _ = h.Write([]byte(field))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum32()
}

// Sums returns the sums of the table's parts.
func (t *Table) Sums() Sums {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sums
}

// count notes what an engine adds to the sum of its part from now on. The caller
// holds mu.
func (t *Table) count(id ident.EndpointID, sum uint32) {
	t.sums[partOf(id)] ^= t.added[id] ^ sum
	if sum == 0 {
		delete(t.added, id)
		return
	}
	t.added[id] = sum
}

// Differing returns the entries of parts that differ from another table's, in whole:
// of all of them, or of the first after a part from which on there are at least most
// entries.
func (t *Table) Differing(other Sums, from, most int) News {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := News{Known: t.known, Sequence: t.sequence, Revision: t.revision, Next: t.news}
	byPart := t.byPart(other)
	for i := range Parts {
		part := (from + i) % Parts
		if t.sums[part] == other[part] {
			continue
		}
		if len(n.Changes) >= most {
			n.More = true
			break
		}
		n.Parts = append(n.Parts, part)
		for _, e := range byPart[part] {
			n.Changes = append(n.Changes, Change{Entry: e.Now()})
		}
	}
	return n
}

// byPart returns the engines of the parts that differ from another table's. The
// caller holds mu.
func (t *Table) byPart(other Sums) map[int][]*Engine {
	if t.sums == other {
		return nil
	}
	byPart := make(map[int][]*Engine)
	for id, e := range t.engines {
		if part := partOf(id); t.sums[part] != other[part] {
			byPart[part] = append(byPart[part], e)
		}
	}
	return byPart
}

// ReplaceParts takes whole parts of a list as of a revision. Engines of these parts
// that it does not name, and that have not changed since, are removed.
func (t *Table) ReplaceParts(parts []int, entries []Entry, revision int64) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	whole := make(map[int]bool, len(parts))
	for _, p := range parts {
		whole[p] = true
	}
	return t.replace(entries, revision, func(id ident.EndpointID) bool { return whole[partOf(id)] })
}
