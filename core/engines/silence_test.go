package engines

import (
	"testing"
	"time"
)

// TestSilentEngineIsLeftOutNoLongerThanItIsSilent has an engine without a fault leave calls
// unanswered for a while. It must get calls again at the latest when it has answered for as
// long as it was silent, also if nothing else tells that it answers again.
func TestSilentEngineIsLeftOutNoLongerThanItIsSilent(t *testing.T) {
	const callTimeout = 100 * time.Millisecond
	for _, silent := range []time.Duration{200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second} {
		e := &Engine{}
		began := time.Now()
		calls := 0
		at := began
		for ; ; at = at.Add(time.Millisecond) {
			if e.IsSilent(at) {
				continue
			}
			calls++
			e.BeginTrial(at)
			if !e.IsSilent(at) && calls > 1 {
				t.Errorf("silent for %v: a second call during the trial", silent)
			}
			if at.Sub(began) >= silent {
				break
			}
			if !e.RecordNoAnswer(at, at.Add(callTimeout)) {
				t.Errorf("silent for %v: not taken as silent", silent)
			}
			at = at.Add(callTimeout)
		}
		if leftOut := at.Sub(began) - silent; leftOut > silent+callTimeout {
			t.Errorf("silent for %v: left out for %v after that", silent, leftOut)
		}
		if calls > 8 {
			t.Errorf("silent for %v: %d calls", silent, calls)
		}
	}
}

// TestAnswerEndsSilence has a silent engine answer: it must get calls at once.
func TestAnswerEndsSilence(t *testing.T) {
	e := &Engine{}
	now := time.Now()
	e.RecordNoAnswer(now, now.Add(time.Second))
	now = now.Add(time.Second)
	if !e.IsSilent(now) {
		t.Error("not silent after an unanswered call")
	}
	e.RecordAnswer(now)
	if e.IsSilent(now) || e.FailureRate(now) != 0 {
		t.Errorf("silent or with a failure rate of %v after an answer", e.FailureRate(now))
	}
}

// TestEngineThatAnswersOtherCallsIsNotSilent has an engine leave one call unanswered while it
// answers others: the call is lost, and the engine is not silent. Answers at the beginning of
// the wait do not count, as the engine may have fallen silent after them.
func TestEngineThatAnswersOtherCallsIsNotSilent(t *testing.T) {
	for answeredAfter, silent := range map[time.Duration]bool{100 * time.Millisecond: true, 900 * time.Millisecond: false} {
		e := &Engine{}
		sent := time.Now()
		e.RecordAnswer(sent.Add(answeredAfter))
		now := sent.Add(time.Second)
		if got := e.RecordNoAnswer(sent, now); got != silent || e.IsSilent(now) != silent {
			t.Errorf("last answer after %v: silent %v, want %v", answeredAfter, got, silent)
		}
		if end := sent.Add(2*time.Second - answeredAfter); silent && e.IsSilent(end) {
			t.Errorf("last answer after %v: left out for longer than the silence", answeredAfter)
		}
	}
}

// TestDeadEngineIsTriedSeldom has an engine never answer again. It must be tried now and
// then, as its host may come back, but seldom.
func TestDeadEngineIsTriedSeldom(t *testing.T) {
	e := &Engine{}
	began := time.Now()
	calls := 0
	for at := began; at.Sub(began) < time.Minute; at = at.Add(10 * time.Millisecond) {
		if e.IsSilent(at) {
			continue
		}
		calls++
		e.BeginTrial(at)
		e.RecordNoAnswer(at, at.Add(250*time.Millisecond))
	}
	if calls < 12 || calls > 25 {
		t.Errorf("%d calls in a minute, want 12 to 25", calls)
	}
}

// TestSilentEngineIsNotTriedDuringLateCall has a call to a silent engine continue. Its answer
// will show when the silence ends, so that no other call is needed until it has ended.
func TestSilentEngineIsNotTriedDuringLateCall(t *testing.T) {
	e := &Engine{}
	now := time.Now()
	end := e.BeginLateCall()
	e.RecordNoAnswer(now, now.Add(250*time.Millisecond))
	later := now.Add(time.Second)
	if !e.IsSilent(later) {
		t.Error("tried during the late call")
	}
	e.RecordAnswer(later)
	if e.IsSilent(later) {
		t.Error("silent after an answer")
	}
	e.RecordNoAnswer(later, later.Add(250*time.Millisecond))
	end()
	if e.IsSilent(later.Add(time.Second)) {
		t.Error("not tried after the end of the late call")
	}
}
