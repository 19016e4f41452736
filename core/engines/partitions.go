package engines

import (
	"hash/fnv"
	"strconv"

	"monsoonfork/core/ident"
)

// PartitionCount is the number of hash partitions of a table. Instances compare their
// tables by one checksum for each partition, and exchange only the partitions that
// differ. With 6,000 engines a partition has about 50 entries, and the checksums of all
// partitions together are smaller than ten entries.
const PartitionCount = 128

// Checksums holds the checksum of each partition of a table. Tables with equal checksums are
// taken to hold the same entries.
type Checksums [PartitionCount]uint32

// partitionOf returns the partition of an engine.
func partitionOf(id ident.EndpointID) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // Never fails.
	return int(h.Sum32() % PartitionCount)
}

// checksum returns the checksum of an entry, without its revision: the revisions of
// equal entries may differ between instances. Those of cold engines count, since an engine may
// become cold again without another change of its entry.
func (e Entry) checksum() uint32 {
	h := fnv.New32a()
	fields := []string{
		string(e.ID), string(e.Service), string(e.Address), string(e.Domain), strconv.Itoa(e.Slots),
		strconv.Itoa(int(e.State)), strconv.Itoa(int(e.Stage)), strconv.FormatInt(e.Started, 10),
	}
	if e.Cold > 0 {
		fields = append(fields, strconv.FormatInt(int64(e.Cold), 10), strconv.FormatInt(e.ListRevision, 10))
	}
	for _, field := range fields {
		_, _ = h.Write([]byte(field))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum32()
}

// Checksums returns the checksums of the table's partitions.
func (t *Table) Checksums() Checksums {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.partitionSums
}

// setChecksum replaces the checksum of an engine, 0 for a removed one, in the checksum
// of its partition, which is the XOR over its engines. The caller must hold mu.
func (t *Table) setChecksum(id ident.EndpointID, sum uint32) {
	t.partitionSums[partitionOf(id)] ^= t.engineSums[id] ^ sum
	if sum == 0 {
		delete(t.engineSums, id)
		return
	}
	t.engineSums[id] = sum
}

// DifferingPartitions returns all entries of the partitions whose checksums differ from
// another table's. It goes through the partitions from start on, wraps around, and stops
// after the partition with which limit entries are reached; Truncated is set if it left
// out others.
func (t *Table) DifferingPartitions(other Checksums, start, limit int) TableChanges {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := TableChanges{Complete: t.complete, Sequence: t.sequence, Revision: t.revision, Changed: t.changeSignal}
	differing := t.differingByPartition(other)
	for i := range PartitionCount {
		partition := (start + i) % PartitionCount
		if t.partitionSums[partition] == other[partition] {
			continue
		}
		if len(n.Changes) >= limit {
			n.Truncated = true
			break
		}
		n.Partitions = append(n.Partitions, partition)
		for _, e := range differing[partition] {
			n.Changes = append(n.Changes, Change{Entry: e.CurrentEntry()})
		}
	}
	return n
}

// differingByPartition returns the engines of the partitions whose checksums differ
// from another table's. The caller must hold mu.
func (t *Table) differingByPartition(other Checksums) map[int][]*Engine {
	if t.partitionSums == other {
		return nil
	}
	differing := make(map[int][]*Engine)
	for id, e := range t.engines {
		if partition := partitionOf(id); t.partitionSums[partition] != other[partition] {
			differing[partition] = append(differing[partition], e)
		}
	}
	return differing
}

// ReplacePartitions applies the complete entries of some partitions as of a revision.
// Engines of these partitions that are not among the entries are removed, unless they
// changed after the revision. It returns the changes applied.
func (t *Table) ReplacePartitions(partitions []int, entries []Entry, revision int64) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	replaced := make(map[int]bool, len(partitions))
	for _, p := range partitions {
		replaced[p] = true
	}
	return t.replace(entries, revision, func(id ident.EndpointID) bool { return replaced[partitionOf(id)] }).applied
}
