package store

import (
	"sort"
	"strings"
	"time"
)

// entry is one key with its value, in the form of the published API.
type entry struct {
	Key         string `json:"Key"`
	Value       []byte `json:"Value"` // Base64 in JSON.
	CreateIndex uint64 `json:"CreateIndex"`
	ModifyIndex uint64 `json:"ModifyIndex"`
	LockIndex   uint64 `json:"LockIndex"`
	Flags       uint64 `json:"Flags"`
	Session     string `json:"Session,omitempty"`
}

// keyspace holds keys and sessions. Its methods are called under the lock of
// the Store.
type keyspace struct {
	index      uint64
	entries    map[string]*entry
	tombstones map[string]uint64 // Index of the last deletion of a key.
	sessions   map[string]*session
	delayed    map[string]time.Time // End of the lock delay of a key.
}

// newKeyspace returns an empty keyspace.
func newKeyspace() *keyspace {
	return &keyspace{
		index:      1,
		entries:    make(map[string]*entry),
		tombstones: make(map[string]uint64),
		sessions:   make(map[string]*session),
		delayed:    make(map[string]time.Time),
	}
}

// view is what a read sees.
type view struct {
	entries []entry
	index   uint64 // Index of the last change of what was read.
}

// readKey returns one key.
func (k *keyspace) readKey(key string) view {
	v := view{index: max(1, k.tombstones[key])}
	if e, ok := k.entries[key]; ok {
		v.entries = append(v.entries, *e)
		v.index = e.ModifyIndex
	}
	return v
}

// readPrefix returns all keys below prefix, in order.
func (k *keyspace) readPrefix(prefix string) view {
	v := view{index: 1}
	for key, e := range k.entries {
		if strings.HasPrefix(key, prefix) {
			v.entries = append(v.entries, *e)
			v.index = max(v.index, e.ModifyIndex)
		}
	}
	for key, index := range k.tombstones {
		if strings.HasPrefix(key, prefix) {
			v.index = max(v.index, index)
		}
	}
	sort.Slice(v.entries, func(i, j int) bool { return v.entries[i].Key < v.entries[j].Key })
	return v
}

// put writes a value without a condition.
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

// modifyIndex returns the ModifyIndex of key, 0 when it is absent.
func (k *keyspace) modifyIndex(key string) uint64 {
	e, ok := k.entries[key]
	if !ok {
		return 0
	}
	return e.ModifyIndex
}

// compareAndSwap writes a value if the ModifyIndex of key is expected.
func (k *keyspace) compareAndSwap(key string, value []byte, expected uint64) bool {
	if k.modifyIndex(key) != expected {
		return false
	}
	k.put(key, value)
	return true
}

// remove deletes a key.
func (k *keyspace) remove(key string) {
	if _, ok := k.entries[key]; !ok {
		return
	}
	k.index++
	delete(k.entries, key)
	k.tombstones[key] = k.index
}

// compareAndDelete deletes a key if its ModifyIndex is expected.
func (k *keyspace) compareAndDelete(key string, expected uint64) bool {
	if k.modifyIndex(key) != expected {
		return false
	}
	k.remove(key)
	return true
}

// acquire locks a key for a session and writes its value.
func (k *keyspace) acquire(key string, value []byte, id string, now time.Time) bool {
	if now.Before(k.delayed[key]) {
		return false
	}
	e, ok := k.entries[key]
	if ok && e.Session != "" && e.Session != id {
		return false
	}
	held := ok && e.Session == id
	e = k.put(key, value)
	if !held {
		e.LockIndex++
	}
	e.Session = id
	return true
}

// release unlocks a key that the session holds and writes its value.
func (k *keyspace) release(key string, value []byte, id string) bool {
	e, ok := k.entries[key]
	if !ok || e.Session != id {
		return false
	}
	k.put(key, value).Session = ""
	return true
}
