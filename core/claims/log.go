package claims

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
	"monsoonfork/core/keyvalue"
)

// keyPrefix is the prefix of the logs' keys in the store.
const keyPrefix = "monsoonfork/claims"

// Store contains the operations of the key-value store that a log uses.
type Store struct {
	Get            func(ctx context.Context, key string) (keyvalue.Listing, error)
	List           func(ctx context.Context, prefix string) (keyvalue.Listing, error)
	CompareAndSwap func(ctx context.Context, key string, value []byte, index keyvalue.Index) (keyvalue.Outcome, error)
	Delete         func(ctx context.Context, key string, index keyvalue.Index) (keyvalue.Outcome, error)
}

// shardLog is the state of one log as last read by this process. It is used only by
// the goroutine of its shard.
type shardLog struct {
	shard       int
	store       Store
	now         func() time.Time
	retention   func() time.Duration
	holderEnded func(ident.InstanceID) bool

	loaded     bool // The whole log has been read once.
	upToDate   bool // The last read succeeded, and this process has written nothing since.
	head       Head
	headIndex  keyvalue.Index
	calls      callIndex
	segments   []segmentInfo // Oldest first.
	nextExpiry time.Time     // Next removal of expired calls.
}

// expiryInterval is the time between two removals of expired calls from an index.
const expiryInterval = time.Minute

// unknownIndex marks a segment that this process wrote and has not read since, so
// that its modification index is unknown.
const unknownIndex keyvalue.Index = 0

// segmentInfo contains what is needed to delete an expired segment: its number, the
// time of its newest entry and its modification index.
type segmentInfo struct {
	seq    int64
	newest time.Time
	index  keyvalue.Index
}

// headKey returns the key of the head.
func (l *shardLog) headKey() string { return fmt.Sprintf("%s/%d/head", keyPrefix, l.shard) }

// segmentKey returns the key of a segment. Numbers have a fixed width, so that
// listings return segments in numerical order.
func (l *shardLog) segmentKey(seq int64) string {
	return fmt.Sprintf("%s/%d/segment/%012d", keyPrefix, l.shard, seq)
}

// expired reports whether an entry created at t is older than the retention.
func (l *shardLog) expired(t time.Time) bool { return l.now().Sub(t) > l.retention() }

// refresh reads the entries appended since the last read. The first refresh reads the
// whole log.
func (l *shardLog) refresh(ctx context.Context) error {
	l.upToDate = false
	if err := l.read(ctx); err != nil {
		return err
	}
	l.upToDate = true
	return nil
}

// read reads the head, or the whole log if it was rotated or deleted since the last
// read.
func (l *shardLog) read(ctx context.Context) error {
	if !l.loaded {
		return l.load(ctx)
	}
	listing, err := l.store.Get(ctx, l.headKey())
	if err != nil {
		return err
	}
	entry, ok := listing.FirstEntry()
	if !ok || entry.ModifyIndex == l.headIndex {
		if !ok && l.headIndex != 0 {
			return l.load(ctx)
		}
		return nil
	}
	var head Head
	if err := decode(entry.Value, &head); err != nil {
		return err
	}
	if head.Seq != l.head.Seq || len(head.Entries) < len(l.head.Entries) {
		return l.load(ctx)
	}
	l.applyAll(head.Entries[len(l.head.Entries):])
	l.head, l.headIndex = head, entry.ModifyIndex
	return nil
}

// load reads the whole log and rebuilds the index.
func (l *shardLog) load(ctx context.Context) error {
	listing, err := l.store.List(ctx, fmt.Sprintf("%s/%d/", keyPrefix, l.shard))
	if err != nil {
		return err
	}
	l.calls = make(callIndex)
	l.head, l.headIndex, l.segments = Head{}, 0, nil
	var headEntries []Entry
	for _, e := range listing.Entries {
		if e.Key == l.headKey() {
			if err := decode(e.Value, &l.head); err != nil {
				return err
			}
			l.headIndex = e.ModifyIndex
			headEntries = l.head.Entries
			continue
		}
		if err := l.loadSegment(e); err != nil {
			return err
		}
	}
	l.applyAll(headEntries)
	l.loaded = true
	return nil
}

// loadSegment applies one segment of a listing. A segment with the same number as the
// head comes from an interrupted rotation: the head contains its entries too.
func (l *shardLog) loadSegment(e keyvalue.Entry) error {
	var seq int64
	name := e.Key[strings.LastIndex(e.Key, "/")+1:]
	if _, err := fmt.Sscanf(name, "%d", &seq); err != nil {
		return fault.Wrap(err, fault.Internal, "claims: key %s does not end with a segment number", e.Key)
	}
	var segment Segment
	if err := decode(e.Value, &segment); err != nil {
		return err
	}
	l.applyAll(segment.Entries)
	l.segments = append(l.segments, newSegmentInfo(seq, segment.Entries, e.ModifyIndex))
	return nil
}

// newSegmentInfo returns the description of a segment.
func newSegmentInfo(seq int64, entries []Entry, at keyvalue.Index) segmentInfo {
	info := segmentInfo{seq: seq, index: at}
	for i := range entries {
		if t := entries[i].createdAt(); t.After(info.newest) {
			info.newest = t
		}
	}
	return info
}

// applyAll applies entries in order.
func (l *shardLog) applyAll(entries []Entry) {
	for i := range entries {
		l.calls.apply(&entries[i], l.expired)
	}
}

// write appends entries to the head that was last read, and rotates the head first
// if it is full. If it returns Written, the entries are in the log and were applied
// to the index; otherwise they may or may not be in the log. The modification index
// of the new head is unknown until the next read.
func (l *shardLog) write(ctx context.Context, entries []Entry) (keyvalue.Outcome, error) {
	l.upToDate = false
	next := Head{Seq: l.head.Seq}
	rotating := l.headFull(entries)
	if rotating {
		outcome, err := l.rotate(ctx)
		if outcome != keyvalue.Written {
			return outcome, err
		}
		next.Seq++
	} else {
		next.Entries = append(next.Entries, l.head.Entries...)
	}
	next.Entries = append(next.Entries, entries...)
	raw, err := json.Marshal(next)
	if err != nil {
		return keyvalue.NotWritten, fault.Wrap(err, fault.Internal, "claims: marshal head")
	}
	outcome, err := l.store.CompareAndSwap(ctx, l.headKey(), raw, l.headIndex)
	if outcome != keyvalue.Written {
		return outcome, err
	}
	if rotating {
		l.segments = append(l.segments, newSegmentInfo(l.head.Seq, l.head.Entries, unknownIndex))
	}
	l.head = next
	l.applyAll(entries)
	return keyvalue.Written, nil
}

// headFull reports whether the head must be rotated before entries are appended.
func (l *shardLog) headFull(entries []Entry) bool {
	if len(l.head.Entries) == 0 {
		return false
	}
	if len(l.head.Entries)+len(entries) > maxHeadEntries {
		return true
	}
	size := 0
	for i := range l.head.Entries {
		if a := l.head.Entries[i].Answer; a != nil {
			size += len(a.Body)
		}
	}
	return size > maxHeadBytes
}

// rotate copies the head to its segment. The segment may already exist, from an
// interrupted rotation: it is replaced only by one with more entries, so that a
// writer with an outdated head cannot remove entries.
func (l *shardLog) rotate(ctx context.Context) (keyvalue.Outcome, error) {
	raw, err := json.Marshal(Segment{Entries: l.head.Entries})
	if err != nil {
		return keyvalue.NotWritten, fault.Wrap(err, fault.Internal, "claims: marshal segment")
	}
	key := l.segmentKey(l.head.Seq)
	outcome, err := l.store.CompareAndSwap(ctx, key, raw, 0)
	if outcome != keyvalue.Conflict {
		return outcome, err
	}
	return l.replaceSegment(ctx, key, raw)
}

// replaceSegment replaces an existing segment if the head has more entries.
func (l *shardLog) replaceSegment(ctx context.Context, key string, raw []byte) (keyvalue.Outcome, error) {
	listing, err := l.store.Get(ctx, key)
	if err != nil {
		return keyvalue.NotWritten, err
	}
	existing, ok := listing.FirstEntry()
	if !ok {
		return keyvalue.Conflict, nil
	}
	var segment Segment
	if err := decode(existing.Value, &segment); err != nil {
		return keyvalue.NotWritten, err
	}
	switch {
	case len(segment.Entries) > len(l.head.Entries):
		return keyvalue.Conflict, nil
	case len(segment.Entries) == len(l.head.Entries):
		return keyvalue.Written, nil
	}
	return l.store.CompareAndSwap(ctx, key, raw, existing.ModifyIndex)
}

// removeExpired removes calls older than the retention from the index, at most once
// per expiryInterval.
func (l *shardLog) removeExpired() {
	now := l.now()
	if now.Before(l.nextExpiry) {
		return
	}
	l.nextExpiry = now.Add(expiryInterval)
	for call, r := range l.calls {
		if l.expired(r.claimedAt) {
			delete(l.calls, call)
		}
	}
}

// deleteExpiredSegment deletes the oldest segment if all its entries are older than
// twice the retention.
func (l *shardLog) deleteExpiredSegment(ctx context.Context) {
	if len(l.segments) == 0 {
		return
	}
	oldest := l.segments[0]
	if oldest.seq >= l.head.Seq || l.now().Sub(oldest.newest) < 2*l.retention() {
		return
	}
	key := l.segmentKey(oldest.seq)
	if oldest.index == unknownIndex {
		listing, err := l.store.Get(ctx, key)
		if err != nil {
			return
		}
		segment, _ := listing.FirstEntry()
		oldest.index = segment.ModifyIndex
	}
	outcome, err := l.store.Delete(ctx, key, oldest.index)
	if err == nil && outcome != keyvalue.Unknown {
		l.segments = l.segments[1:]
	}
}

// decode decodes a stored value.
func decode(raw []byte, v any) error {
	if err := json.Unmarshal(raw, v); err != nil {
		return fault.Wrap(err, fault.Internal, "claims: malformed value in the store")
	}
	return nil
}
