package budget

import (
	"context"
	"sync"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
)

// memoryStore holds slot records, and fails on command.
type memoryStore struct {
	mu        sync.Mutex
	records   map[ident.DomainID]map[int]storedSlot
	version   uint64
	down      bool
	loseReply bool                    // Writes take effect, but their answers are lost.
	downFor   map[ident.DomainID]bool // Domains that cannot reach the store.
	calls     int
}

// newMemoryStore returns an empty store.
func newMemoryStore() *memoryStore {
	return &memoryStore{
		records: make(map[ident.DomainID]map[int]storedSlot),
		downFor: make(map[ident.DomainID]bool),
	}
}

// set changes the store's faults.
func (m *memoryStore) set(change func(*memoryStore)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

// of returns the store as a node sees it.
func (m *memoryStore) of(n *node) slotStore {
	domain := n.member.Domain
	return slotStore{
		get: func(ctx context.Context, slot int) (storedSlot, error) {
			list, err := m.list(ctx, n, domain)
			return list[slot], err
		},
		list: func(ctx context.Context) (map[int]storedSlot, error) { return m.list(ctx, n, domain) },
		swap: func(ctx context.Context, slot int, r slotRecord, version uint64) keyvalue.Outcome {
			return m.swap(ctx, n, domain, slot, r, version)
		},
	}
}

// list returns a copy of a domain's records.
func (m *memoryStore) list(ctx context.Context, n *node, domain ident.DomainID) (map[int]storedSlot, error) {
	n.wait()
	if !m.reach(ctx, n) {
		return nil, fault.New(fault.StoreUnavailable, "store is down")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	copied := make(map[int]storedSlot)
	for slot, r := range m.records[domain] {
		copied[slot] = r
	}
	return copied, nil
}

// swap writes a record if its version has not changed.
func (m *memoryStore) swap(ctx context.Context, n *node, domain ident.DomainID, slot int, r slotRecord, version uint64) keyvalue.Outcome {
	n.wait()
	if !m.reach(ctx, n) {
		return keyvalue.Unknown
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.records[domain] == nil {
		m.records[domain] = make(map[int]storedSlot)
	}
	if m.records[domain][slot].version != version {
		return keyvalue.Conflict
	}
	m.version++
	m.records[domain][slot] = storedSlot{record: r, version: m.version}
	if m.loseReply {
		return keyvalue.Unknown
	}
	return keyvalue.Written
}

// reach waits as a call does and reports whether it reached the store.
func (m *memoryStore) reach(ctx context.Context, n *node) bool {
	m.mu.Lock()
	m.calls++
	down := m.down || m.downFor[n.member.Domain]
	m.mu.Unlock()
	n.c.mu.Lock()
	down = down || n.dead
	n.c.mu.Unlock()
	if down {
		select {
		case <-ctx.Done():
		case <-time.After(storeTimeout):
		}
		return false
	}
	time.Sleep(storeDelay)
	n.wait()
	return true
}
