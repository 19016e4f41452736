package engines

import "time"

// maxSilenceExclusion is the longest time for which a silent engine gets no calls.
const maxSilenceExclusion = 4 * time.Second

// silence is the state of an engine that leaves calls unanswered: it is dead, or pauses for a
// second or two. It gets no calls for as long as it has been silent so far, and then a single
// one. So it is left out after its silence for at most as long as the silence lasted, and a
// dead engine costs few calls.
type silence struct {
	answeredAt time.Time // When the engine last answered.
	since      time.Time // When the silence began; zero if the engine is not silent.
	retryAt    time.Time // The engine gets no calls before.
	lateCalls  int       // Open calls whose answers would end the silence.
}

// extend moves retryAt to the time after now that follows from the length of the silence.
func (s *silence) extend(now time.Time) {
	s.retryAt = now.Add(min(now.Sub(s.since), maxSilenceExclusion))
}

// awaitsLateAnswer reports whether an open call would show the end of the silence.
func (s *silence) awaitsLateAnswer() bool { return !s.since.IsZero() && s.lateCalls > 0 }

// answer ends the silence.
func (s *silence) answer(now time.Time) {
	s.answeredAt, s.since, s.retryAt = now, time.Time{}, time.Time{}
}

// RecordAnswer records that the engine has sent something, which ends its silence.
func (e *Engine) RecordAnswer(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silence.answer(now)
}

// RecordNoAnswer records that a call has waited in vain for an answer since the given time.
// It returns false, and records nothing, if the engine has answered other calls in the second
// half of that time, so that it is not silent.
func (e *Engine) RecordNoAnswer(waitingSince, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silence.answeredAt.After(waitingSince.Add(now.Sub(waitingSince) / 2)) {
		return false
	}
	if e.silence.since.IsZero() {
		e.silence.since = waitingSince
		if e.silence.answeredAt.After(waitingSince) {
			e.silence.since = e.silence.answeredAt
		}
	}
	e.silence.extend(now)
	return true
}

// IsSilent reports whether the engine leaves calls unanswered and is not to be tried yet.
func (e *Engine) IsSilent(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return now.Before(e.silence.retryAt) || e.silence.awaitsLateAnswer()
}

// AwaitsLateAnswer reports whether the engine is silent and a call is open whose answer would
// end the silence.
func (e *Engine) AwaitsLateAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.silence.awaitsLateAnswer()
}

// BeginLateCall is to be called for a call that continues after its caller has stopped waiting
// for it, until the returned function is called. While there is one, a silent engine gets no
// other call: its answer shows when the silence ends.
func (e *Engine) BeginLateCall() (end func()) {
	e.addLateCalls(1)
	return func() { e.addLateCalls(-1) }
}

// addLateCalls adds to the number of late calls.
func (e *Engine) addLateCalls(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silence.lateCalls += n
}

// BeginTrial is to be called before a call to the engine. If the engine was silent, this
// keeps others from calling it until the call has shown whether it still is.
func (e *Engine) BeginTrial(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.silence.since.IsZero() && !now.Before(e.silence.retryAt) {
		e.silence.extend(now)
	}
}
