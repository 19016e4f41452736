package quarantine

import (
	"slices"
	"strings"
	"time"

	"monsoonfork/core/ident"
)

const (
	// unknownPartCrashes is the number of engines that must have crashed under a part that was
	// never in an answered prompt.
	unknownPartCrashes = 2
	// knownPartCrashes is that number for a part that was in answered prompts before. It may
	// have become harmful, but is more likely to have been there by chance.
	knownPartCrashes = 3
	// knownPartDelay is how long such a part must have been without an answer since the first
	// of these crashes. A part in common use is in other answers within this time.
	knownPartDelay = 500 * time.Millisecond
	// minHold is how long a part is held after the last crash before it is tried again. Each
	// further crash doubles it.
	minHold = 30 * time.Second
	// maxHold bounds it: after this time a new build of the engines is discovered.
	maxHold = 10 * time.Minute
)

// Hold is a part that is kept from engines.
type Hold struct {
	Scope
	Part      ident.PartID
	Crashes   int // Number of engines that crashed under it.
	Reporters int // Number of instances that reported these crashes.
	FirstAt   time.Time
	LastAt    time.Time // Last of these crashes.
	Until     time.Time // From then on one request may try the part.
}

// suspicion is a part that some crashes have in common.
type suspicion struct {
	part     ident.PartID
	known    bool // It was in answered prompts before these crashes.
	depth    int  // Its position in the prompt of the first crash.
	crashes  []Crash
	weighted int // Number of crashes, with at most one of each other reporter.
}

// judge decides which parts are held. Each crash has one cause: the most suspect part is taken to
// be that of all its crashes, and the others are judged by the rest. The caller must hold mu.
func (e *evidence) judge(now time.Time) {
	e.forget(now)
	e.holds, e.judgeAgain = nil, time.Time{}
	unexplained := make([]Crash, 0, len(e.crashes))
	for _, c := range e.crashes {
		unexplained = append(unexplained, c)
		e.judgeLater(c.At.Add(crashLife))
	}
	slices.SortFunc(unexplained, compareCrashes)
	for {
		worst, ok := e.mostSuspect(unexplained, now)
		if !ok {
			return
		}
		if e.holds == nil {
			e.holds = make(map[ident.PartID]Hold)
		}
		e.holds[worst.part] = worst.hold()
		unexplained = slices.DeleteFunc(unexplained, func(c Crash) bool { return slices.Contains(c.Parts, worst.part) })
	}
}

// judgeLater makes held judge again at a time. The caller must hold mu.
func (e *evidence) judgeLater(at time.Time) {
	if e.judgeAgain.IsZero() || at.Before(e.judgeAgain) {
		e.judgeAgain = at
	}
}

// mostSuspect returns the part for which there is most evidence among crashes, if there is enough
// for one. The caller must hold mu.
func (e *evidence) mostSuspect(crashes []Crash, now time.Time) (worst suspicion, ok bool) {
	for _, s := range e.suspicions(crashes) {
		if e.isProven(s, now) && (!ok || s.isWorse(worst)) {
			worst, ok = s, true
		}
	}
	return worst, ok
}

// suspicions returns the parts that were not cleared since crashes under them. The crashes are
// in the order of their times. The caller must hold mu.
func (e *evidence) suspicions(crashes []Crash) []suspicion {
	index := make(map[ident.PartID]int)
	var list []suspicion
	for _, c := range crashes {
		for depth, part := range c.Parts {
			clearedAt, known := e.cleared.last(part)
			if known && !c.At.After(clearedAt) {
				continue
			}
			i, seen := index[part]
			if !seen {
				i = len(list)
				index[part] = i
				list = append(list, suspicion{part: part, known: known, depth: depth})
			}
			list[i].crashes = append(list[i].crashes, c)
		}
	}
	for i := range list {
		list[i].weighted = weigh(list[i].crashes, e.self)
	}
	return list
}

// weigh returns the number of engines that crashed. Of the engines that only one other instance
// reports, at most one counts: it may be wrong.
func weigh(crashes []Crash, self ident.InstanceID) int {
	counted := make(map[Run]bool)
	for _, c := range crashes {
		if c.Reporter == self {
			counted[c.Run] = true
		}
	}
	believed := make(map[ident.InstanceID]bool)
	for _, c := range crashes {
		if c.Reporter != self && !believed[c.Reporter] && !counted[c.Run] {
			believed[c.Reporter], counted[c.Run] = true, true
		}
	}
	return len(counted)
}

// isProven reports whether there is enough evidence to hold a part. The caller must hold mu.
func (e *evidence) isProven(s suspicion, now time.Time) bool {
	if !s.known {
		return s.weighted >= unknownPartCrashes
	}
	if s.weighted < knownPartCrashes {
		return false
	}
	provenAt := s.crashes[0].At.Add(knownPartDelay)
	if now.Before(provenAt) {
		e.judgeLater(provenAt)
		return false
	}
	return true
}

// isWorse reports whether there is more evidence for s than for other. Of two parts with equal
// evidence, the later one in the prompt is in fewer requests.
func (s suspicion) isWorse(other suspicion) bool {
	switch {
	case s.known != other.known:
		return !s.known
	case s.weighted != other.weighted:
		return s.weighted > other.weighted
	case s.depth != other.depth:
		return s.depth > other.depth
	default:
		return strings.Compare(string(s.part), string(other.part)) < 0
	}
}

// hold returns the hold of a part for which there is enough evidence.
func (s suspicion) hold() Hold {
	runs, reporters := make(map[Run]bool), make(map[ident.InstanceID]bool)
	for _, c := range s.crashes {
		runs[c.Run], reporters[c.Reporter] = true, true
	}
	first, last := s.crashes[0], s.crashes[len(s.crashes)-1]
	return Hold{
		Scope: first.Scope, Part: s.part, Crashes: len(runs), Reporters: len(reporters),
		FirstAt: first.At, LastAt: last.At, Until: last.At.Add(holdTime(len(runs))),
	}
}

// holdTime returns how long a part is held after the last of a number of crashes.
func holdTime(crashes int) time.Duration {
	hold := minHold
	for ; crashes > unknownPartCrashes && hold < maxHold; crashes-- {
		hold *= 2
	}
	return min(hold, maxHold)
}

// isTrialFor reports whether a prompt with the given parts may try a part whose hold has ended. Its
// other parts should be known to be harmless, as a crash would be blamed on the wrong part
// otherwise. If no such prompt comes for another minHold, any other may.
func (e *evidence) isTrialFor(h Hold, parts []ident.PartID, now time.Time) bool {
	others := slices.DeleteFunc(slices.Clone(parts), func(p ident.PartID) bool { return p == h.Part })
	return e.allCleared(others) || !now.Before(h.Until.Add(minHold))
}
