package engines

import "time"

// maxPause is the longest time for which an engine's request to get no calls is followed.
// A longer one is most likely a mistake, and would take the engine out of use for good.
const maxPause = time.Minute

// MarkLeaving records that the engine has announced, in one of its answers, that it
// leaves. The announcement holds until the engine ends, whatever the list says: the list
// may lag, and an engine has no way to take the announcement back.
func (e *Engine) MarkLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announcedLeaving = true
}

// hasAnnouncedLeaving reports whether the engine has announced in an answer that it leaves.
func (e *Engine) hasAnnouncedLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.announcedLeaving
}

// PauseUntil records that the engine has asked for no calls until a time.
func (e *Engine) PauseUntil(until, now time.Time) {
	if latest := now.Add(maxPause); until.After(latest) {
		until = latest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if until.After(e.pausedUntil) {
		e.pausedUntil = until
	}
}

// PausedUntil returns the end of the pause that the engine has asked for, or the zero time
// if there is none at the given time.
func (e *Engine) PausedUntil(now time.Time) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !now.Before(e.pausedUntil) {
		return time.Time{}
	}
	return e.pausedUntil
}

// Accepts reports whether the engine may be called with a new request now: it is usable
// and has not asked for a pause.
func (e *Engine) Accepts(now time.Time) bool {
	return e.Usable() && e.PausedUntil(now).IsZero()
}

// EarliestPauseEnd returns the earliest end of the pauses of engines that are otherwise
// usable, or the zero time if one of them accepts requests now or none is usable.
func EarliestPauseEnd(list []*Engine, now time.Time) time.Time {
	var earliest time.Time
	for _, e := range list {
		if !e.Usable() {
			continue
		}
		until := e.PausedUntil(now)
		if until.IsZero() {
			return time.Time{}
		}
		if earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return earliest
}

// MarkLeaving records the announcement of an engine that it leaves; see
// Engine.MarkLeaving. It reports whether this was not known before. The announcement of an
// earlier run of the engine is ignored.
func (t *Table) MarkLeaving(run Entry) bool {
	e := t.run(run)
	if e == nil || e.IsLeaving() {
		return false
	}
	e.MarkLeaving()
	return true
}

// PauseUntil records that an engine has asked for no calls until a time; see
// Engine.PauseUntil. The request of an earlier run of the engine is ignored.
func (t *Table) PauseUntil(run Entry, until, now time.Time) {
	if e := t.run(run); e != nil {
		e.PauseUntil(until, now)
	}
}

// Paused reports whether an engine has asked for no calls at the given time.
func (t *Table) Paused(run Entry, now time.Time) bool {
	e := t.run(run)
	return e != nil && !e.PausedUntil(now).IsZero()
}

// run returns the engine with the id of an entry, or nil if the entry describes another
// run of it.
func (t *Table) run(entry Entry) *Engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engines[entry.ID]
	if e == nil || !e.sameRun(entry) {
		return nil
	}
	return e
}
