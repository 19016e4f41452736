// Package storeera orders the revisions of a store that may come back from an older copy, and
// tracks which era of the store is the newest.
package storeera

import "monsoonfork/core/fault"

const (
	// revisionBits is how many bits of an ordered revision hold the store's revision. Those above
	// hold the era. Together with an era of up to 2047 an ordered revision stays below 2^53, so
	// that receivers of fencing numbers which decode numbers as floating point lose no digit.
	revisionBits = 42
	// MaxRevision is the largest revision of the store that can be ordered.
	MaxRevision = 1<<revisionBits - 1
	// MaxEra is the largest era that can be ordered.
	MaxEra = 1<<(63-revisionBits) - 1
)

// Order returns an ordered revision: a number that is larger for a later era, and within an era
// for a later revision of the store. In era 0 it is the revision itself. The error has kind
// StoreUnavailable.
func Order(era, revision int64) (int64, error) {
	if era < 0 || era > MaxEra || revision < 0 || revision > MaxRevision {
		return 0, fault.New(fault.StoreUnavailable, "era %d or revision %d of the store is out of range", era, revision)
	}
	return era<<revisionBits | revision, nil
}

// Split returns the era and the revision of the store of an ordered revision.
func Split(ordered int64) (era, revision int64) {
	return ordered >> revisionBits, ordered & MaxRevision
}
