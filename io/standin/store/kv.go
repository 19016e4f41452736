package store

import (
	"sort"
	"strings"
	"time"
)

// entry is one key with its value, as encoded in the Consul API.
type entry struct {
	Key         string `json:"Key"`
	Value       []byte `json:"Value"` // Base64 in JSON.
	CreateIndex uint64 `json:"CreateIndex"`
	ModifyIndex uint64 `json:"ModifyIndex"`
	LockIndex   uint64 `json:"LockIndex"`
	Flags       uint64 `json:"Flags"`
	Session     string `json:"Session,omitempty"`
}

// keyspace holds the keys and sessions. Its methods are called with the lock of the
// Store held. The index is the number of the last change of keys.
type keyspace struct {
	index         uint64
	entries       map[string]*entry
	tombstones    map[string]uint64 // Deleted key -> index of its last deletion.
	sessions      map[string]*session
	lockDelayEnds map[string]time.Time // Key -> time before which it can't be locked.
}

// newKeyspace returns an empty keyspace.
func newKeyspace() *keyspace {
	return &keyspace{
		index:         1,
		entries:       make(map[string]*entry),
		tombstones:    make(map[string]uint64),
		sessions:      make(map[string]*session),
		lockDelayEnds: make(map[string]time.Time),
	}
}

// readResult is the result of a read.
type readResult struct {
	entries []entry
	index   uint64 // Index of the last change of the key or prefix.
}

// readKey reads one key.
func (k *keyspace) readKey(key string) readResult {
	result := readResult{index: max(1, k.tombstones[key])}
	if e, ok := k.entries[key]; ok {
		result.entries = append(result.entries, *e)
		result.index = e.ModifyIndex
	}
	return result
}

// readPrefix reads all keys that begin with prefix, sorted.
func (k *keyspace) readPrefix(prefix string) readResult {
	result := readResult{index: 1}
	for key, e := range k.entries {
		if strings.HasPrefix(key, prefix) {
			result.entries = append(result.entries, *e)
			result.index = max(result.index, e.ModifyIndex)
		}
	}
	for key, index := range k.tombstones {
		if strings.HasPrefix(key, prefix) {
			result.index = max(result.index, index)
		}
	}
	sort.Slice(result.entries, func(i, j int) bool { return result.entries[i].Key < result.entries[j].Key })
	return result
}

// put writes a value unconditionally.
func (k *keyspace) put(key string, value []byte) *entry {
	k.index++
	e, ok := k.entries[key]
	if !ok {
		e = &entry{Key: key, CreateIndex: k.index}
		k.entries[key] = e
	}
	e.Value = value
	e.ModifyIndex = k.index
	return e
}

// modifyIndex returns the ModifyIndex of key, or 0 if it does not exist.
func (k *keyspace) modifyIndex(key string) uint64 {
	e, ok := k.entries[key]
	if !ok {
		return 0
	}
	return e.ModifyIndex
}

// compareAndSwap writes a value if the ModifyIndex of key equals expected; 0 means
// that the key must not exist.
func (k *keyspace) compareAndSwap(key string, value []byte, expected uint64) bool {
	if k.modifyIndex(key) != expected {
		return false
	}
	k.put(key, value)
	return true
}

// remove deletes a key and keeps its index as a tombstone.
func (k *keyspace) remove(key string) {
	if _, ok := k.entries[key]; !ok {
		return
	}
	k.index++
	delete(k.entries, key)
	k.tombstones[key] = k.index
}

// compareAndDelete deletes a key if its ModifyIndex equals expected.
func (k *keyspace) compareAndDelete(key string, expected uint64) bool {
	if k.modifyIndex(key) != expected {
		return false
	}
	k.remove(key)
	return true
}

// acquire locks a key for the session id and writes its value. It returns false if
// another session has locked the key or the lock delay of the key has not passed.
func (k *keyspace) acquire(key string, value []byte, id string, now time.Time) bool {
	if now.Before(k.lockDelayEnds[key]) {
		return false
	}
	e, ok := k.entries[key]
	if ok && e.Session != "" && e.Session != id {
		return false
	}
	alreadyLocked := ok && e.Session == id
	e = k.put(key, value)
	if !alreadyLocked {
		e.LockIndex++
	}
	e.Session = id
	return true
}

// release writes a value and unlocks the key. It returns false if the session id
// has not locked the key.
func (k *keyspace) release(key string, value []byte, id string) bool {
	e, ok := k.entries[key]
	if !ok || e.Session != id {
		return false
	}
	k.put(key, value).Session = ""
	return true
}
