package stagecontrol

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"monsoonfork/core/engines"
	"monsoonfork/core/fault"
	"monsoonfork/core/ident"
)

// stageChangeTime is how long an engine gets no requests after a notice that it is about
// to change its stage, unless the list of engines shows the new stage before, or the change
// takes longer. The engine
// ends its streams first, which takes seconds. Until then it refuses requests, although
// it still grants reservations.
const stageChangeTime = 18 * time.Second

// Notice lists the engines that are about to change their stages. It is the value of the
// lease's key in the store.
type Notice struct {
	Holder  ident.InstanceID
	Changes []NoticeEntry
}

// NoticeEntry is one engine of a notice.
type NoticeEntry struct {
	Engine ident.EndpointID
	To     engines.Stage
}

// newNotice returns the notice of changes.
func newNotice(holder ident.InstanceID, changes []StageChange) Notice {
	n := Notice{Holder: holder}
	for _, change := range changes {
		n.Changes = append(n.Changes, NoticeEntry{change.Engine.ID, change.To})
	}
	return n
}

// NoticeBoard holds the newest notice and excludes its engines from requests.
type NoticeBoard struct {
	// Exclude excludes an engine from requests until it is at a stage, or until a time.
	Exclude func(id ident.EndpointID, to engines.Stage, until time.Time)
	Now     func() time.Time
	// ChangeTime returns how long engines take for a change of stage, once their streams have
	// ended; 0 if it is not known.
	ChangeTime func() time.Duration
	OnChange   func() // Called after a notice has become the current one. May be nil.

	mu       sync.Mutex
	raw      []byte
	revision int64
}

// Put applies a notice with its revision of the store, unless it is not newer than the
// current one. An invalid notice is not kept, so that other instances don't get it. The
// error has kind BadText.
func (b *NoticeBoard) Put(raw []byte, revision int64) error {
	if _, current := b.Newest(); revision <= current {
		return nil
	}
	n, err := decodeNotice(raw)
	if err != nil {
		return err
	}
	b.mu.Lock()
	if revision > b.revision {
		b.raw, b.revision = raw, revision
	}
	b.mu.Unlock()
	until := b.Now().Add(exclusionTime(b.ChangeTime()))
	for _, c := range n.Changes {
		b.Exclude(c.Engine, c.To, until)
	}
	if b.OnChange != nil {
		b.OnChange()
	}
	return nil
}

// exclusionTime returns how long an engine gets no requests after a notice, if a change of
// stage takes the given time.
func exclusionTime(change time.Duration) time.Duration {
	return max(stageChangeTime, noticeLead+orderWindow+separationMargin+change)
}

// decodeNotice decodes and checks a notice. The error has kind BadText.
func decodeNotice(raw []byte) (Notice, error) {
	var n Notice
	if err := json.Unmarshal(raw, &n); err != nil {
		return Notice{}, fault.New(fault.BadText, "cannot decode the notice of stage changes: %.200v", err)
	}
	for _, c := range n.Changes {
		if c.To != engines.Prefill && c.To != engines.Decode {
			return Notice{}, fault.New(fault.BadText, "the notice of stage changes has an unknown stage %d", int(c.To))
		}
	}
	return n, nil
}

// Newest returns the newest notice and its revision, or 0 if there is none yet.
func (b *NoticeBoard) Newest() ([]byte, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.raw, b.revision
}

// LeaseAcquirer acquires the lease for giving orders, with the notice as the value of its
// key, and returns its fencing number. The number grows with each acquisition.
type LeaseAcquirer func(ctx context.Context, ttl time.Duration, n Notice) (ident.Epoch, error)
