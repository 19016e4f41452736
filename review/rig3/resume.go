package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	spoiledAnswers = 0.02            // Part of their answers that the engines with the fault spoil.
	spoilTime      = 5 * time.Second // How long they do so,
	spoilPeriod    = 9 * time.Second // in each of these periods.
	resumeTime     = 85 * time.Second
	resumeCallers  = 60
	touchTime      = 4 * time.Second        // After it the instances are in touch.
	stillAtWork    = 400 * time.Millisecond // The bound of the rule.
	callerWait     = 14 * time.Second
)

var (
	spoilingEngines = []string{"m-03", "m-04", "m-05", "m-06", "m-07", "m-08"} // Half of the engines.
	workingOn       = []string{"m-03", "m-06", "m-07"}                         // Engines that do not drop a run when its channel is closed.
)

// resume has half of the engines spoil a small part of their streams, which may be resumed. It checks
// that no request goes on at another engine while the engine before still works on it.
func resume(b *bed, trouble bool) ([]string, error) {
	m := &llm{
		b: b, events: 60, pace: 25 * time.Millisecond,
		drops: func(engine string) bool { return !slices.Contains(workingOn, engine) },
		spoils: func(engine string, first int) int {
			if !trouble || time.Since(b.started)%spoilPeriod >= spoilTime || !slices.Contains(spoilingEngines, engine) || rand.Float64() >= spoiledAnswers {
				return 0
			}
			return first + 1 + rand.IntN(15)
		},
	}
	if err := m.start(3, 9); err != nil {
		return nil, err
	}
	if err := b.configure([]any{modelService()}, streamRoute("/r/", true, 2)); err != nil {
		return nil, err
	}
	for _, zone := range []string{"z-a", "z-b"} {
		if err := b.addFront(zone); err != nil {
			return nil, err
		}
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(touchTime)
	m.callFor(resumeCallers, "/r/x", resumeTime)
	time.Sleep(2 * time.Second) // The last runs end.
	return m.goneOnTwice(), m.checkOrders()
}

// callFor has callers send requests one after another.
func (m *llm) callFor(count int, path string, length time.Duration) {
	until := time.Now().Add(length)
	var mu sync.Mutex
	outcomes := make(map[string]int)
	var callers sync.WaitGroup
	for w := range count {
		callers.Go(func() {
			f := m.b.fronts[w%len(m.b.fronts)]
			for n := 0; time.Now().Before(until); n++ {
				status, complete := readStream(f, fmt.Sprintf("%02x%04x%08x", w, n, rand.Uint32()), path, callerWait)
				mu.Lock()
				outcomes[fmt.Sprintf("status %d, complete %v", status, complete)]++
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	for outcome, n := range outcomes {
		m.b.note("%d answers: %s", n, outcome)
	}
}

// goneOnTwice returns the requests that went on at another engine while the engine before still worked
// on them stillAtWork later.
func (m *llm) goneOnTwice() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	byRequest := make(map[string][]*run)
	for _, w := range m.runs {
		byRequest[w.request] = append(byRequest[w.request], w)
	}
	resumed := 0
	var broken []string
	for id, runs := range byRequest {
		for i, next := range runs[1:] {
			before := runs[i]
			resumed++
			late := before.ended.Sub(next.began)
			if before.engine == next.engine || !before.ended.IsZero() && late <= stillAtWork {
				continue
			}
			broken = append(broken, fmt.Sprintf("TWICE: request %s went on at %s after event %d; %s still worked on it until %v later", id, next.engine, next.first-1, before.engine, late.Round(time.Millisecond)))
		}
	}
	m.b.note("%d requests, %d went on at another engine, %d of these while the engine before still worked on them", len(byRequest), resumed, len(broken))
	return broken
}
