package membudget

import "time"

const (
	// stallTime is how long a holder must have made no progress before it may be ended. It is
	// longer than a pause of a peer that continues afterwards.
	stallTime = 5 * time.Second
	// maxCheckGap is the longest time between two calls of EndStalled after which the time
	// without progress counts. After a longer one this process was suspended, and a lack of
	// progress says nothing about the peers.
	maxCheckGap = time.Second
)

// EndStalled ends stalled holders while bytes are scarce, and returns those ended. It is to be
// called periodically, more often than once in maxCheckGap.
func (b *Budget) EndStalled(now time.Time) []*Holder {
	if b.resumed(now) {
		b.restartStallTimes(now)
		return nil
	}
	var ended []*Holder
	for b.IsScarce() {
		h := b.worst(now)
		if h == nil {
			break
		}
		h.end()
		h.Close()
		ended = append(ended, h)
	}
	return ended
}

// resumed reports whether the process was suspended since the last call, and records this one.
func (b *Budget) resumed(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.checkedAt
	b.checkedAt = now
	return !before.IsZero() && now.Sub(before) > maxCheckGap
}

// restartStallTimes makes the time without progress of each holder begin now.
func (b *Budget) restartStallTimes(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for h := range b.endable {
		h.RecordProgress(now)
	}
}

// worst returns the stalled holder that is ended first, or nil if none is stalled: that with
// the largest product of bytes held and time without progress.
func (b *Budget) worst(now time.Time) *Holder {
	b.mu.Lock()
	defer b.mu.Unlock()
	var worst *Holder
	largest := 0.0
	for h := range b.endable {
		stalled := now.Sub(h.LastProgress())
		if stalled < stallTime {
			continue
		}
		if product := stalled.Seconds() * float64(h.Held()); product > largest {
			worst, largest = h, product
		}
	}
	return worst
}
