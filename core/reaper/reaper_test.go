package reaper

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"monsoonfork/core/ident"
	"monsoonfork/core/text"
	"monsoonfork/io/engine"
)

// bench is a reaper with one engine and a clock.
type bench struct {
	*Reaper
	mu      sync.Mutex
	time    time.Time
	held    map[string]ident.InstanceID
	state   map[ident.InstanceID]HolderState
	answers map[ident.InstanceID]func(attempts []string) Answer
	asked   int
	aborted []string
}

// newBench returns a reaper that is swept by hand.
func newBench(t *testing.T) *bench {
	b := &bench{
		Reaper:  New(log.NewNopLogger()),
		time:    time.Unix(1000, 0),
		held:    map[string]ident.InstanceID{},
		state:   map[ident.InstanceID]HolderState{},
		answers: map[ident.InstanceID]func([]string) Answer{},
	}
	b.now = func() time.Time { return b.time }
	b.Engines = func() []text.Engine { return []text.Engine{{Name: "d1", Address: "x"}} }
	b.LongestLimit = func() time.Duration { return time.Minute }
	b.HolderState = func(id ident.InstanceID) HolderState { return b.state[id] }
	b.Ask = func(_ context.Context, id ident.InstanceID, attempts []string) Answer {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.asked++
		if f := b.answers[id]; f != nil {
			return f(attempts)
		}
		return Answer{}
	}
	b.List = func(context.Context, ident.Address) ([]engine.Held, error) {
		b.mu.Lock()
		defer b.mu.Unlock()
		var list []engine.Held
		for attempt, holder := range b.held {
			list = append(list, engine.Held{Attempt: attempt, Holder: holder})
		}
		return list, nil
	}
	b.Abort = func(_ context.Context, _ ident.Address, attempt string) (bool, error) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.aborted = append(b.aborted, attempt)
		delete(b.held, attempt)
		return true, nil
	}
	t.Cleanup(func() { _ = b.Close() })
	return b
}

// pass sweeps every two seconds until d has passed.
func (b *bench) pass(d time.Duration) {
	for end := b.time.Add(d); b.time.Before(end); b.time = b.time.Add(b.tuning.SweepEvery) {
		b.sweep()
		b.wg.Wait()
	}
}

// all answers that every attempt is held, or none.
func all(held bool) func([]string) Answer {
	return func(attempts []string) Answer {
		a := Answer{Held: make([]bool, len(attempts))}
		for i := range a.Held {
			a.Held[i] = held
		}
		return a
	}
}

func TestEndedHolder(t *testing.T) {
	b := newBench(t)
	b.held["r.1"], b.held["q.1"] = "dead", "live"
	b.state["dead"], b.state["live"] = Ended, Alive
	b.answers["live"] = all(true)
	b.pass(6 * time.Second)
	if len(b.aborted) != 1 || b.aborted[0] != "r.1" {
		t.Errorf("aborted %v, want r.1 alone", b.aborted)
	}
}

func TestAddressThatRefusesTwice(t *testing.T) {
	b := newBench(t)
	b.held["r.1"] = "far"
	b.answers["far"] = func([]string) Answer { return Answer{Ended: true} }
	b.pass(16 * time.Second)
	if len(b.aborted) != 1 || b.asked < 2 {
		t.Errorf("aborted %v after %d questions", b.aborted, b.asked)
	}
}

func TestOneRefusalIsNoProof(t *testing.T) {
	b := newBench(t)
	b.held["r.1"] = "far"
	n := 0
	b.answers["far"] = func(attempts []string) Answer {
		if n++; n%2 == 1 {
			return Answer{Ended: true}
		}
		return all(true)(attempts)
	}
	b.pass(50 * time.Second)
	if len(b.aborted) != 0 {
		t.Errorf("aborted %v of a live holder", b.aborted)
	}
}

// TestSilentHolder: a paused holder keeps its work for as long as a request may
// take, and loses it after that.
func TestSilentHolder(t *testing.T) {
	b := newBench(t)
	b.held["r.1"] = "paused"
	b.pass(time.Minute + b.tuning.AfterLimit)
	if len(b.aborted) != 0 {
		t.Fatalf("aborted %v of a paused holder", b.aborted)
	}
	b.pass(3 * b.tuning.SweepEvery)
	if len(b.aborted) != 1 {
		t.Errorf("aborted %v after every time limit", b.aborted)
	}
}

func TestHolderThatLetGo(t *testing.T) {
	b := newBench(t)
	b.held["r.1"], b.held["r.2"] = "live", "live"
	b.state["live"] = Alive
	b.answers["live"] = func(attempts []string) Answer {
		a := all(true)(attempts)
		for i := range attempts {
			a.Held[i] = attempts[i] == "r.2"
		}
		return a
	}
	b.pass(14 * time.Second)
	if len(b.aborted) != 1 || b.aborted[0] != "r.1" {
		t.Errorf("aborted %v, want r.1 alone", b.aborted)
	}
}

func TestYoungWorkIsNotAskedAfter(t *testing.T) {
	b := newBench(t)
	b.held["r.1"] = "live"
	b.state["live"] = Alive
	b.answers["live"] = all(false)
	b.pass(b.tuning.AskAfter)
	if b.asked != 0 || len(b.aborted) != 0 {
		t.Errorf("%d questions, aborted %v", b.asked, b.aborted)
	}
}

func TestAbortIsRepeated(t *testing.T) {
	b := newBench(t)
	b.held["r.1"] = "dead"
	b.state["dead"] = Ended
	done := b.Abort
	failures := 2
	b.Abort = func(ctx context.Context, to ident.Address, attempt string) (bool, error) {
		if failures--; failures >= 0 {
			return false, context.DeadlineExceeded
		}
		return done(ctx, to, attempt)
	}
	b.pass(12 * time.Second)
	if len(b.aborted) != 1 {
		t.Errorf("aborted %v", b.aborted)
	}
}
