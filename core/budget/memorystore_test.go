package budget

import (
	"context"
	"sync"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
)

// memoryStore is an in-memory store of slot records into which faults can be
// injected.
type memoryStore struct {
	mu              sync.Mutex
	records         map[ident.DomainID]map[int]storedSlot
	version         uint64
	down            bool
	loseReply       bool                    // Writes take effect, but their outcome is reported as unknown.
	unreachableFrom map[ident.DomainID]bool // Domains that cannot reach the store.
	calls           int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{
		records:         make(map[ident.DomainID]map[int]storedSlot),
		unreachableFrom: make(map[ident.DomainID]bool),
	}
}

// setFaults changes the injected faults.
func (m *memoryStore) setFaults(change func(*memoryStore)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

// storeFor returns the store as accessed by a node.
func (m *memoryStore) storeFor(n *node) slotStore {
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
	n.waitWhilePaused()
	if !m.reachStore(ctx, n) {
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

// swap writes a record if the stored version is still the given one.
func (m *memoryStore) swap(ctx context.Context, n *node, domain ident.DomainID, slot int, r slotRecord, version uint64) keyvalue.Outcome {
	n.waitWhilePaused()
	if !m.reachStore(ctx, n) {
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

// reachStore waits as long as a call takes and reports whether the call
// reached the store.
func (m *memoryStore) reachStore(ctx context.Context, n *node) bool {
	m.mu.Lock()
	m.calls++
	down := m.down || m.unreachableFrom[n.member.Domain]
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
	n.waitWhilePaused()
	return true
}
