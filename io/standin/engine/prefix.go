package engine

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"
)

// blockTokens is the number of tokens in one block of the prefix cache.
const blockTokens = 256

// maxBufferedEvents is the number of cache events kept for GET /kv_events; older
// ones are discarded.
const maxBufferedEvents = 10_000

// EventType is the type of a cache event.
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

// CacheEvent describes a change of the prefix cache: the hashes of the prefixes
// that were stored or removed.
type CacheEvent struct {
	Seq         int64     `json:"seq"`
	Type        EventType `json:"type"`
	BlockHashes []string  `json:"block_hashes"`
	visibleAt   time.Time
}

// EventsResponse is the response to GET /kv_events. Last is the sequence number of
// the newest visible event, or the requested one if that is higher.
type EventsResponse struct {
	Events []CacheEvent `json:"events"`
	Last   int64        `json:"last"`
}

// prefixCache holds the hashes of computed prompt prefixes and evicts the least
// recently used ones. Its events become visible after a delay, and a random share
// of them is lost.
type prefixCache struct {
	mu            sync.Mutex
	capacity      int // In blocks.
	eventDelay    time.Duration
	eventLossRate float64 // Probability that an event is lost.
	rng           *rand.Rand
	recency       *list.List // Hashes, most recently used first.
	blocks        map[string]*list.Element
	seq           int64
	events        []CacheEvent
}

// newPrefixCache returns an empty cache with a capacity in blocks.
func newPrefixCache(capacity int, eventDelay time.Duration, eventLossRate float64, seed uint64) *prefixCache {
	return &prefixCache{
		capacity:      capacity,
		eventDelay:    eventDelay,
		eventLossRate: eventLossRate,
		rng:           rand.New(rand.NewPCG(seed, seed)),
		recency:       list.New(),
		blocks:        make(map[string]*list.Element),
	}
}

// blockHashes returns the hashes of those prefixes of the prompt that consist of
// whole blocks, shortest first.
func blockHashes(p Prompt) []string {
	hashes := make([]string, 0, p.Len()/blockTokens)
	for end := blockTokens; end <= p.Len(); end += blockTokens {
		hashes = append(hashes, hashTokens(p.tokens[:end]))
	}
	return hashes
}

// lookup returns the length in tokens of the longest cached prefix, given the block
// hashes of a prompt, and marks its blocks as recently used.
func (c *prefixCache) lookup(hashes []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	blocks := 0
	for _, hash := range hashes {
		element, ok := c.blocks[hash]
		if !ok {
			break
		}
		c.recency.MoveToFront(element)
		blocks++
	}
	return blocks * blockTokens
}

// store adds prefixes and evicts the least recently used ones above the capacity.
func (c *prefixCache) store(hashes []string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var added, removed []string
	for _, hash := range hashes {
		if _, ok := c.blocks[hash]; ok {
			continue
		}
		c.blocks[hash] = c.recency.PushFront(hash)
		added = append(added, hash)
	}
	for len(c.blocks) > c.capacity {
		oldest := c.recency.Remove(c.recency.Back()).(string)
		delete(c.blocks, oldest)
		removed = append(removed, oldest)
	}
	c.publish(Stored, added, now)
	c.publish(Removed, removed, now)
}

// publish appends an event to the buffer or, at random, discards it; its sequence
// number is used in either case. The caller holds the lock.
func (c *prefixCache) publish(t EventType, hashes []string, now time.Time) {
	if len(hashes) == 0 {
		return
	}
	c.seq++
	if c.rng.Float64() < c.eventLossRate {
		return
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Type: t, BlockHashes: hashes, visibleAt: now.Add(c.eventDelay)})
	if len(c.events) > maxBufferedEvents {
		c.events = c.events[len(c.events)-maxBufferedEvents:]
	}
}

// eventsAfter returns the events with a sequence number above seq that are visible
// at now.
func (c *prefixCache) eventsAfter(seq int64, now time.Time) EventsResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	response := EventsResponse{Events: []CacheEvent{}, Last: seq}
	for _, event := range c.events {
		if event.visibleAt.After(now) {
			break
		}
		response.Last = max(response.Last, event.Seq)
		if event.Seq > seq {
			response.Events = append(response.Events, event)
		}
	}
	return response
}
