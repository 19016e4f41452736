package engines

import "time"

// maxPause is the longest time for which an engine's request to get no calls is followed.
// A longer one is most likely a mistake, and would take the engine out of use for good.
const maxPause = time.Minute

// MarkLeaving records that the engine has announced, in one of its answers, that it
// leaves. The announcement holds until the engine ends, whatever the list says: the list
// may lag or come back from an older copy, and an engine has no way to take the announcement back.
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

// announcements returns whether the engine has announced that it leaves, and until when it has asked for
// no calls.
func (e *Engine) announcements() (leaving bool, pausedUntil time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.announcedLeaving, e.pausedUntil
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

// MarkLeaving records the announcement of an engine that it leaves; see Engine.MarkLeaving. It reports
// whether this was not known before. It also holds for a run that is no longer listed, which may be
// listed again; the announcement of an earlier run of a listed engine does not apply to the present one.
func (t *Table) MarkLeaving(run Entry) bool {
	e := t.knownRun(run)
	if e == nil {
		return false
	}
	known := e.IsLeaving()
	e.MarkLeaving()
	return !known
}

// PauseUntil records that an engine has asked for no calls until a time; see Engine.PauseUntil. Like
// MarkLeaving it applies to this run of the engine alone.
func (t *Table) PauseUntil(run Entry, until, now time.Time) {
	if e := t.knownRun(run); e != nil {
		e.PauseUntil(until, now)
	}
}

// Paused reports whether an engine has asked for no calls at the given time.
func (t *Table) Paused(run Entry, now time.Time) bool {
	e := t.knownRun(run)
	return e != nil && !e.PausedUntil(now).IsZero()
}

// run returns the engine with the id of an entry, or nil if the entry describes another
// run of it.
func (t *Table) run(entry Entry) *Engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listedRun(entry)
}

// knownRun returns the engine of the run that an entry describes, listed or ended, or nil if it is not
// known.
func (t *Table) knownRun(entry Entry) *Engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.listedRun(entry); e != nil {
		return e
	}
	return t.ended.get(entry.Run())
}

// listedRun returns the listed engine of the run that an entry describes, or nil. The caller must hold
// mu.
func (t *Table) listedRun(entry Entry) *Engine {
	e := t.engines[entry.ID]
	if e == nil || !e.sameRun(entry) {
		return nil
	}
	return e
}
