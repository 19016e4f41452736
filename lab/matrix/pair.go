package matrix

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"monsoonfork/lab/process"
)

// Upper bounds on the times that are drawn for two events that overlap.
const (
	maxPairGap     = 600 * time.Millisecond // From the start to the begin of each event.
	maxPairHold    = 500 * time.Millisecond // From the begin of an event to its end.
	maxPairSend    = 1500 * time.Millisecond
	minPairRelease = 300 * time.Millisecond
	maxPairRelease = 2500 * time.Millisecond
)

// DrawPair draws two events that can overlap. StopOutlasted is not drawn: the engines continue before
// the instance has ended, so that what this event allows would be too much.
func DrawPair(random *rand.Rand) Events {
	for {
		pair := Events{Event(random.IntN(int(eventCount))), Event(random.IntN(int(eventCount)))}
		both := func(is func(Event) bool) bool { return is(pair[0]) && is(pair[1]) }
		if pair[0] != pair[1] && !slices.Contains(pair, StopOutlasted) && !both(Event.isStop) && !both(Event.usesStoreLink) && !both(Event.suspends) {
			return pair
		}
	}
}

// usesStoreLink reports whether the event changes the link to the store.
func (e Event) usesStoreLink() bool {
	return e == ChangeStoreAway || e == ChangeStoreSlow || e == StopStoreAway || e == StopStoreSlow
}

// suspends reports whether the event suspends the process.
func (e Event) suspends() bool { return e == Suspended || e == SuspendedAmidAnswers }

// RunPair brings a request into each state, and lets two events overlap, with all times drawn:
// when the events begin and end, when the rest of each request is sent, and when the engines go
// on.
func RunPair(ctx context.Context, runner *process.Runner, name string, pair Events, random *rand.Rand) ([]Cell, error) {
	return run(ctx, runner, name, pair, func(ctx context.Context, f *fleet, calls []*call) error {
		return f.overlap(ctx, pair, calls, random)
	})
}

// overlap lets the events happen, sends what is missing of the requests, and lets the engines
// continue, at drawn times. Errors of an event are ignored if the other stops the instance, which
// may have ended.
func (f *fleet) overlap(ctx context.Context, pair Events, calls []*call, random *rand.Rand) error {
	var happening sync.WaitGroup
	failures := make([]error, len(pair))
	for i, e := range pair {
		gap, hold := drawTime(random, maxPairGap), drawTime(random, maxPairHold)
		happening.Go(func() {
			time.Sleep(gap)
			if err := f.happen(ctx, e, hold); err != nil && (e.isStop() || !pair.stops()) {
				failures[i] = fmt.Errorf("%s: %w", e, err)
			}
		})
	}
	for _, c := range calls {
		wait := drawTime(random, maxPairSend)
		happening.Go(func() {
			time.Sleep(wait)
			c.sendRest()
		})
	}
	release := minPairRelease + drawTime(random, maxPairRelease-minPairRelease)
	happening.Go(func() {
		time.Sleep(release)
		f.releaseEngines(calls)
	})
	happening.Wait()
	return errors.Join(failures...)
}

// happen lets an event begin and end.
func (f *fleet) happen(ctx context.Context, e Event, hold time.Duration) error {
	s := e.eventSteps()
	err := s.begin(ctx, f)
	time.Sleep(hold)
	if s.end != nil {
		err = errors.Join(err, s.end(f))
	}
	return err
}

// drawTime draws a time below limit.
func drawTime(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}
