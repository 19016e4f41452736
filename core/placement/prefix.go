package placement

import (
	"container/list"

	"monsoonfork/core/ident"
)

// prefixBlockTokens is the number of tokens between two prefix hashes.
const prefixBlockTokens ident.Tokens = 256

// Settings of the prefix index.
const (
	maxPrefixHashes     = 8192 // Hashes that the index keeps.
	prefixTrustNum      = 3    // Part of the indexed saving that
	prefixTrustDenom    = 4    // predictions count on.
	maxEnginesPerPrefix = 8
)

// prefixIndex remembers which engines have cached which prompt prefixes. It is
// a hint: events come late and with gaps.
type prefixIndex struct {
	entries map[string]*list.Element
	order   *list.List // Of *prefixEntry, least recently used last.
}

// prefixEntry is one hash and the engines that have it.
type prefixEntry struct {
	hash    string
	engines map[ident.EndpointID]bool
}

// newPrefixIndex returns an empty index.
func newPrefixIndex() *prefixIndex {
	return &prefixIndex{entries: make(map[string]*list.Element), order: list.New()}
}

// stored notes that an engine has cached a prefix.
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

// removed notes that an engine has dropped a prefix.
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

// cleared forgets all prefixes of an engine: it dropped them, or events were
// lost.
func (x *prefixIndex) cleared(engine ident.EndpointID) {
	for hash := range x.entries {
		x.removed(engine, hash)
	}
}

// saved returns how many tokens of the prompt the engine has cached, by the
// longest run of known prefixes from the start.
func (x *prefixIndex) saved(engine ident.EndpointID, hashes []string, prompt ident.Tokens) ident.Tokens {
	var blocks ident.Tokens
	for _, h := range hashes {
		e, ok := x.entries[h]
		if !ok || !e.Value.(*prefixEntry).engines[engine] {
			break
		}
		blocks++
	}
	return min(blocks*prefixBlockTokens, prompt) * prefixTrustNum / prefixTrustDenom
}
