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

// keyPrefix is where the logs stand in the store.
const keyPrefix = "monsoonfork/claims"

// Store is what a log needs of the key-value service.
type Store struct {
	Get            func(ctx context.Context, key string) (keyvalue.Listing, error)
	List           func(ctx context.Context, prefix string) (keyvalue.Listing, error)
	CompareAndSwap func(ctx context.Context, key string, value []byte, index keyvalue.Index) (keyvalue.Outcome, error)
	Delete         func(ctx context.Context, key string, index keyvalue.Index) (keyvalue.Outcome, error)
}

// shardLog is one log as far as this process has read it. Only the goroutine
// of its shard uses it.
type shardLog struct {
	shard      int
	store      Store
	now        func() time.Time
	retention  func() time.Duration
	holderGone func(ident.InstanceID) bool

	loaded    bool
	current   bool // Nothing was written since the last read.
	head      Head
	headIndex keyvalue.Index
	index     index
	segments  []segmentAge // Oldest first.
	nextSweep time.Time    // Of the index.
}

// sweepInterval is the time between two sweeps of an index.
const sweepInterval = time.Minute

// unknownIndex is the index of a segment that this process has written and not
// read since.
const unknownIndex keyvalue.Index = 0

// segmentAge says when the newest entry of a segment was made.
type segmentAge struct {
	seq    int64
	newest time.Time
	index  keyvalue.Index
}

// headKey returns the key of the head.
func (l *shardLog) headKey() string { return fmt.Sprintf("%s/%d/head", keyPrefix, l.shard) }

// segmentKey returns the key of a segment. Numbers have a fixed width, so that
// a listing is in order.
func (l *shardLog) segmentKey(seq int64) string {
	return fmt.Sprintf("%s/%d/segment/%012d", keyPrefix, l.shard, seq)
}

// expired reports whether an entry made at t is older than the retention.
func (l *shardLog) expired(t time.Time) bool { return l.now().Sub(t) > l.retention() }

// refresh reads what was appended since the last read. A process that has
// just started reads the whole log before it judges any call.
func (l *shardLog) refresh(ctx context.Context) error {
	l.current = false
	if err := l.read(ctx); err != nil {
		return err
	}
	l.current = true
	return nil
}

// read reads the head, or the whole log if the head alone does not tell all.
func (l *shardLog) read(ctx context.Context) error {
	if !l.loaded {
		return l.load(ctx)
	}
	listing, err := l.store.Get(ctx, l.headKey())
	if err != nil {
		return err
	}
	entry, ok := listing.First()
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

// load reads the whole log.
func (l *shardLog) load(ctx context.Context) error {
	listing, err := l.store.List(ctx, fmt.Sprintf("%s/%d/", keyPrefix, l.shard))
	if err != nil {
		return err
	}
	l.index = make(index)
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

// loadSegment applies one segment of a listing. A segment with the number of
// the head is a rotation that was not finished: the head holds its entries.
func (l *shardLog) loadSegment(e keyvalue.Entry) error {
	var seq int64
	name := e.Key[strings.LastIndex(e.Key, "/")+1:]
	if _, err := fmt.Sscanf(name, "%d", &seq); err != nil {
		return fault.Wrap(err, fault.Internal, "claims: key %s", e.Key)
	}
	var segment Segment
	if err := decode(e.Value, &segment); err != nil {
		return err
	}
	l.applyAll(segment.Entries)
	l.segments = append(l.segments, ageOf(seq, segment.Entries, e.ModifyIndex))
	return nil
}

// ageOf returns the age of a segment.
func ageOf(seq int64, entries []Entry, at keyvalue.Index) segmentAge {
	age := segmentAge{seq: seq, index: at}
	for i := range entries {
		if t := entries[i].time(); t.After(age.newest) {
			age.newest = t
		}
	}
	return age
}

// applyAll applies entries in order.
func (l *shardLog) applyAll(entries []Entry) {
	for i := range entries {
		l.index.apply(&entries[i], l.expired)
	}
}

// write appends entries after the head that was last read. Only when it
// returns Written do they stand in the log for sure, and are applied. The index
// of the new head is not known before the next read.
func (l *shardLog) write(ctx context.Context, entries []Entry) (keyvalue.Outcome, error) {
	l.current = false
	next := Head{Seq: l.head.Seq}
	rotating := l.full(entries)
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
		l.segments = append(l.segments, ageOf(l.head.Seq, l.head.Entries, unknownIndex))
	}
	l.head = next
	l.applyAll(entries)
	return keyvalue.Written, nil
}

// full reports whether the head has no room for entries.
func (l *shardLog) full(entries []Entry) bool {
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

// rotate copies the head to its segment. The segment may stand there already,
// from a rotation that was not finished: it is replaced only by one that holds
// more, so that an appender with an old head cannot take entries away.
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

// replaceSegment replaces a segment that stands already.
func (l *shardLog) replaceSegment(ctx context.Context, key string, raw []byte) (keyvalue.Outcome, error) {
	listing, err := l.store.Get(ctx, key)
	if err != nil {
		return keyvalue.NotWritten, err
	}
	existing, ok := listing.First()
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

// sweep drops the records of calls that are past the retention.
func (l *shardLog) sweep() {
	now := l.now()
	if now.Before(l.nextSweep) {
		return
	}
	l.nextSweep = now.Add(sweepInterval)
	for call, r := range l.index {
		if l.expired(r.at) {
			delete(l.index, call)
		}
	}
}

// prune deletes the oldest segment if all of it is past the retention twice.
func (l *shardLog) prune(ctx context.Context) {
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
		segment, _ := listing.First()
		oldest.index = segment.ModifyIndex
	}
	outcome, err := l.store.Delete(ctx, key, oldest.index)
	if err == nil && outcome != keyvalue.Unknown {
		l.segments = l.segments[1:]
	}
}

// decode decodes a value of the store.
func decode(raw []byte, v any) error {
	if err := json.Unmarshal(raw, v); err != nil {
		return fault.Wrap(err, fault.Internal, "claims: malformed value in the store")
	}
	return nil
}
