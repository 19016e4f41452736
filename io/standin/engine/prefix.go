package engine

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"
)

// blockTokens is the length of one block of the prefix cache, in tokens.
const blockTokens = 256

// maxEvents is the number of cache events that can still be read.
const maxEvents = 10_000

// EventType is a kind of cache event.
type EventType int

//go:generate stringer -type=EventType -linecomment -output=prefix_string.go

// The event types.
const (
	Stored  EventType = iota // stored
	Removed                  // removed
	Cleared                  // cleared
)

// MarshalText implements encoding.TextMarshaler.
func (t EventType) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *EventType) UnmarshalText(text []byte) error {
	return decodeEnum(t, Stored, Cleared, text)
}

// CacheEvent tells of a change of the prefix cache.
type CacheEvent struct {
	Seq         int64     `json:"seq"`
	Type        EventType `json:"type"`
	BlockHashes []string  `json:"block_hashes"`
	visible     time.Time
}

// EventsAnswer is the answer to GET /kv_events.
type EventsAnswer struct {
	Events []CacheEvent `json:"events"`
	Last   int64        `json:"last"`
}

// prefixCache remembers which prompt prefixes were computed, the least recently
// used blocks being dropped first. Its events show late, and some are lost.
type prefixCache struct {
	mu       sync.Mutex
	capacity int // Blocks.
	lag      time.Duration
	gaps     float64 // Share of the events that are lost.
	random   *rand.Rand
	order    *list.List // Hashes, most recently used first.
	blocks   map[string]*list.Element
	seq      int64
	events   []CacheEvent
}

// newPrefixCache returns an empty cache.
func newPrefixCache(capacity int, lag time.Duration, gaps float64, seed uint64) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		lag:      lag,
		gaps:     gaps,
		random:   rand.New(rand.NewPCG(seed, seed)),
		order:    list.New(),
		blocks:   make(map[string]*list.Element),
	}
}

// blockHashes returns the hashes of the prefixes of whole blocks, shortest
// first.
func blockHashes(p Prompt) []string {
	hashes := make([]string, 0, p.Len()/blockTokens)
	for end := blockTokens; end <= p.Len(); end += blockTokens {
		hashes = append(hashes, hashTokens(p.tokens[:end]))
	}
	return hashes
}

// lookup returns the number of tokens of the longest cached prefix.
func (c *prefixCache) lookup(hashes []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	blocks := 0
	for _, hash := range hashes {
		element, ok := c.blocks[hash]
		if !ok {
			break
		}
		c.order.MoveToFront(element)
		blocks++
	}
	return blocks * blockTokens
}

// store adds prefixes and drops others to make room.
func (c *prefixCache) store(hashes []string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var added, removed []string
	for _, hash := range hashes {
		if _, ok := c.blocks[hash]; ok {
			continue
		}
		c.blocks[hash] = c.order.PushFront(hash)
		added = append(added, hash)
	}
	for len(c.blocks) > c.capacity {
		oldest := c.order.Remove(c.order.Back()).(string)
		delete(c.blocks, oldest)
		removed = append(removed, oldest)
	}
	c.publish(Stored, added, now)
	c.publish(Removed, removed, now)
}

// publish adds an event, or loses it. The caller holds the lock.
func (c *prefixCache) publish(t EventType, hashes []string, now time.Time) {
	if len(hashes) == 0 {
		return
	}
	c.seq++
	if c.random.Float64() < c.gaps {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Type: t, BlockHashes: hashes, visible: now.Add(c.lag)})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

// after returns the visible events with a number above seq.
func (c *prefixCache) after(seq int64, now time.Time) EventsAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	answer := EventsAnswer{Events: []CacheEvent{}, Last: seq}
	for _, event := range c.events {
		if event.visible.After(now) {
			break
		}
		answer.Last = max(answer.Last, event.Seq)
		if event.Seq > seq {
			answer.Events = append(answer.Events, event)
		}
	}
	return answer
}
