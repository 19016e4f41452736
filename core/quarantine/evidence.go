package quarantine

import (
	"slices"
	"strings"
	"sync"
	"time"

	"monsoonfork/core/ident"
)

const (
	// crashLife is how long a crash is remembered. It is longer than the longest hold, so that
	// a part is tried again before its crashes are forgotten.
	crashLife = 20 * time.Minute
	// maxCrashes is the number of crashes that are kept for one scope.
	maxCrashes = 256
	// maxReporterCrashes is how many of them may come from one instance, so that one that reports
	// nonsense leaves room for the others.
	maxReporterCrashes = 32
)

// Scope is a set of engines for which parts are judged. A part that crashes the engines of one
// model may be harmless for those of another.
type Scope struct {
	Service ident.ServiceID
	Model   ident.ModelID
}

// Prompt is what a request asks of the engines of a scope.
type Prompt struct {
	Scope
	Parts []ident.PartID // In order. The last one is the request's own.
}

// shared returns the parts that other requests may have too.
func (p Prompt) shared() []ident.PartID {
	return p.Parts[:max(0, len(p.Parts)-1)]
}

// Run identifies one run of an engine, from its start to its end.
type Run struct {
	Engine  ident.EndpointID
	Started int64 // Unix milliseconds.
}

// Crash is the crash of an engine while it began to answer a prompt.
type Crash struct {
	Scope
	Run      Run
	Reporter ident.InstanceID // Instance that sent the request.
	Parts    []ident.PartID   // Shared parts of the prompt.
	At       time.Time
}

// crashID identifies a crash record.
type crashID struct {
	run      Run
	reporter ident.InstanceID
	parts    string
}

// id returns the id of the crash.
func (c Crash) id() crashID {
	return crashID{c.Run, c.Reporter, JoinParts(c.Parts)}
}

// JoinParts returns the ids of parts, separated by commas.
func JoinParts(parts []ident.PartID) string {
	texts := make([]string, len(parts))
	for i, p := range parts {
		texts[i] = string(p)
	}
	return strings.Join(texts, ",")
}

// evidence holds what is known about the parts of one scope. Crashes incriminate the parts of
// their prompts, answers clear them.
type evidence struct {
	self ident.InstanceID

	mu         sync.Mutex
	crashes    map[crashID]Crash
	cleared    clearTimes
	holds      map[ident.PartID]Hold
	judgeAgain time.Time // holds may change at this time without new evidence; zero for never.
}

// newEvidence returns the evidence of an instance about a scope, which is none.
func newEvidence(self ident.InstanceID) *evidence {
	return &evidence{self: self, crashes: make(map[crashID]Crash)}
}

// addCrashes adds crashes, and returns those that were not known and the parts that are held
// because of them.
func (e *evidence) addCrashes(list []Crash, now time.Time) (added []Crash, held []Hold) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range list {
		id := c.id()
		if _, known := e.crashes[id]; known || now.Sub(c.At) >= crashLife {
			continue
		}
		e.crashes[id] = c
		e.dropOldest(maxReporterCrashes, func(other Crash) bool { return other.Reporter == c.Reporter })
		added = append(added, c)
	}
	if len(added) == 0 {
		return nil, nil
	}
	e.dropOldest(maxCrashes, func(Crash) bool { return true })
	added = slices.DeleteFunc(added, func(c Crash) bool {
		_, kept := e.crashes[c.id()]
		return !kept
	})
	before := e.holds
	e.judge(now)
	for part, h := range e.holds {
		if _, known := before[part]; !known {
			held = append(held, h)
		}
	}
	return added, held
}

// dropOldest drops the oldest crashes that match until at most limit of them are left. The
// caller must hold mu.
func (e *evidence) dropOldest(limit int, match func(Crash) bool) {
	var matching []Crash
	for _, c := range e.crashes {
		if match(c) {
			matching = append(matching, c)
		}
	}
	if len(matching) <= limit {
		return
	}
	slices.SortFunc(matching, func(a, b Crash) int { return a.At.Compare(b.At) })
	for _, c := range matching[:len(matching)-limit] {
		delete(e.crashes, c.id())
	}
}

// clear records when prompts with some parts were answered, and returns the parts that are no
// longer held because of it.
func (e *evidence) clear(answered map[ident.PartID]time.Time, now time.Time) (released []ident.PartID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for p, at := range answered {
		e.cleared.record(p, at)
	}
	if !e.mentions(answered) {
		return nil
	}
	before := e.holds
	e.judge(now)
	for part := range before {
		if _, held := e.holds[part]; !held {
			released = append(released, part)
		}
	}
	slices.Sort(released)
	return released
}

// companions returns the parts of all crashes that have the given part, itself included.
func (e *evidence) companions(part ident.PartID) []ident.PartID {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []ident.PartID{part}
	for _, c := range e.crashes {
		if slices.Contains(c.Parts, part) {
			list = append(list, c.Parts...)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// mentions reports whether a crash has one of the parts. The caller must hold mu.
func (e *evidence) mentions(parts map[ident.PartID]time.Time) bool {
	for _, c := range e.crashes {
		if slices.ContainsFunc(c.Parts, func(p ident.PartID) bool { _, ok := parts[p]; return ok }) {
			return true
		}
	}
	return false
}

// held returns the hold of one of the parts, if there is one.
func (e *evidence) held(parts []ident.PartID, now time.Time) (Hold, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.crashes) == 0 {
		return Hold{}, false
	}
	if !e.judgeAgain.IsZero() && !now.Before(e.judgeAgain) {
		e.judge(now)
	}
	for _, p := range parts {
		if h, ok := e.holds[p]; ok {
			return h, true
		}
	}
	return Hold{}, false
}

// allHolds returns all holds, sorted by part.
func (e *evidence) allHolds(now time.Time) []Hold {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.judge(now)
	list := make([]Hold, 0, len(e.holds))
	for _, h := range e.holds {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b Hold) int { return strings.Compare(string(a.Part), string(b.Part)) })
	return list
}

// suspects reports whether one of the parts may have caused a crash that has just been recorded:
// it was never in an answered prompt, or not since an earlier crash.
func (e *evidence) suspects(parts []ident.PartID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range parts {
		at, ok := e.cleared.last(p)
		if !ok || len(e.runsSince(p, at)) > 1 {
			return true
		}
	}
	return false
}

// runsSince returns the runs of engines that crashed under a part after a time. The caller must
// hold mu.
func (e *evidence) runsSince(part ident.PartID, at time.Time) map[Run]bool {
	runs := make(map[Run]bool)
	for _, c := range e.crashes {
		if c.At.After(at) && slices.Contains(c.Parts, part) {
			runs[c.Run] = true
		}
	}
	return runs
}

// allCleared reports whether each of the parts was in an answered prompt.
func (e *evidence) allCleared(parts []ident.PartID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !slices.ContainsFunc(parts, func(p ident.PartID) bool {
		_, ok := e.cleared.last(p)
		return !ok
	})
}

// clearedSince reports whether all parts of a crash were in answered prompts after it.
func (e *evidence) clearedSince(c Crash) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !slices.ContainsFunc(c.Parts, func(p ident.PartID) bool {
		at, ok := e.cleared.last(p)
		return !ok || !at.After(c.At)
	})
}

// snapshot is a copy of the evidence about a scope.
type snapshot struct {
	crashes []Crash
	cleared map[ident.PartID]time.Time // Parts of the crashes that were in answered prompts.
}

// snapshot returns the crashes that match, with the times at which their parts were cleared.
func (e *evidence) snapshot(now time.Time, match func(Crash) bool) snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forget(now)
	s := snapshot{cleared: make(map[ident.PartID]time.Time)}
	for _, c := range e.crashes {
		if !match(c) {
			continue
		}
		s.crashes = append(s.crashes, c)
		for _, p := range c.Parts {
			if at, ok := e.cleared.last(p); ok {
				s.cleared[p] = at
			}
		}
	}
	slices.SortFunc(s.crashes, compareCrashes)
	return s
}

// compareCrashes orders crashes by their time, and those of one time by their engine, reporter
// and parts.
func compareCrashes(a, b Crash) int {
	if c := a.At.Compare(b.At); c != 0 {
		return c
	}
	if c := strings.Compare(string(a.Run.Engine), string(b.Run.Engine)); c != 0 {
		return c
	}
	if c := strings.Compare(string(a.Reporter), string(b.Reporter)); c != 0 {
		return c
	}
	return strings.Compare(a.id().parts, b.id().parts)
}

// forget drops crashes older than crashLife. The caller must hold mu.
func (e *evidence) forget(now time.Time) {
	for id, c := range e.crashes {
		if now.Sub(c.At) >= crashLife {
			delete(e.crashes, id)
		}
	}
}
