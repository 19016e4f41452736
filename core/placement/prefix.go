package placement

import (
	"container/list"

	"monsoonfork/core/ident"
)

// prefixBlockTokens is the number of prompt tokens per prefix hash.
const prefixBlockTokens ident.Tokens = 256

// Parameters of the prefix index.
const (
	maxPrefixHashes     = 8192 // Maximum number of hashes in the index.
	prefixDiscountNum   = 3    // Predictions count on only this fraction of
	prefixDiscountDenom = 4    // the indexed tokens, since the index may be stale.
	maxEnginesPerPrefix = 8
)

// prefixIndex records which engines have cached which prompt prefixes. It is only
// a hint, since cache events arrive late and may be lost.
type prefixIndex struct {
	entries map[string]*list.Element
	order   *list.List // Values are *prefixEntry; the least recently stored is last.
}

// prefixEntry is a prefix hash and the engines that have cached the prefix.
type prefixEntry struct {
	hash    string
	engines map[ident.EndpointID]bool
}

// newPrefixIndex returns an empty index.
func newPrefixIndex() *prefixIndex {
	return &prefixIndex{entries: make(map[string]*list.Element), order: list.New()}
}

// stored records that an engine has cached a prefix, and evicts the oldest hashes
// above maxPrefixHashes.
func (x *prefixIndex) stored(engine ident.EndpointID, hash string) {
	e, ok := x.entries[hash]
	if !ok {
		e = x.order.PushFront(&prefixEntry{hash: hash, engines: make(map[ident.EndpointID]bool)})
		x.entries[hash] = e
	}
	x.order.MoveToFront(e)
	entry := e.Value.(*prefixEntry)
	if len(entry.engines) < maxEnginesPerPrefix {
		entry.engines[engine] = true
	}
	for len(x.entries) > maxPrefixHashes {
		last := x.order.Back()
		x.order.Remove(last)
		delete(x.entries, last.Value.(*prefixEntry).hash)
	}
}

// removed records that an engine has evicted a prefix.
func (x *prefixIndex) removed(engine ident.EndpointID, hash string) {
	e, ok := x.entries[hash]
	if !ok {
		return
	}
	entry := e.Value.(*prefixEntry)
	delete(entry.engines, engine)
	if len(entry.engines) == 0 {
		x.order.Remove(e)
		delete(x.entries, hash)
	}
}

// cleared removes all prefixes of an engine, when the engine has cleared its cache
// or events were lost.
func (x *prefixIndex) cleared(engine ident.EndpointID) {
	for hash := range x.entries {
		x.removed(engine, hash)
	}
}

// cachedTokens estimates how many tokens of the prompt the engine has cached: the
// longest sequence of indexed prefixes from the start, discounted.
func (x *prefixIndex) cachedTokens(engine ident.EndpointID, hashes []string, prompt ident.Tokens) ident.Tokens {
	var blocks ident.Tokens
	for _, h := range hashes {
		e, ok := x.entries[h]
		if !ok || !e.Value.(*prefixEntry).engines[engine] {
			break
		}
		blocks++
	}
	return min(blocks*prefixBlockTokens, prompt) * prefixDiscountNum / prefixDiscountDenom
}
