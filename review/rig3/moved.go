package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	movedTime    = 80 * time.Second
	movedCallers = 60
	decoders     = 4
	replaceEvery = 2 * time.Second // Time between two engines that leave.
	serveOn      = 4 * time.Second // How long an engine serves after it said that it leaves: drain-ms and longer.
)

// moved has the engines that decode replaced one after the other, and checks that no request that may
// run once runs twice.
func moved(b *bed, trouble bool) ([]string, error) {
	m := &llm{
		b: b, events: 15, pace: 240 * time.Millisecond, // Of 14 tokens each.
		drops:  func(string) bool { return true },
		spoils: func(string, int) int { return 0 },
	}
	if err := m.start(2, decoders); err != nil {
		return nil, err
	}
	if err := b.configure([]any{modelService()}, streamRoute("/n/", false, 1)); err != nil {
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
	var release sync.WaitGroup
	if trouble {
		release.Go(func() { m.release(movedTime) })
	}
	m.callFor(movedCallers, "/n/x", movedTime)
	release.Wait()
	time.Sleep(2 * time.Second) // The last runs end.
	return m.ranTwice(), m.checkOrders()
}

// release replaces the engines that decode, one at a time, the new one first.
func (m *llm) release(length time.Duration) {
	until := time.Now().Add(length - serveOn)
	for n := 2; time.Now().Before(until); n++ {
		e := m.b.engines[n]
		if _, err := m.startEngine(n+decoders, "decode"); err != nil {
			m.b.note("no new engine: %v", err)
			return
		}
		time.Sleep(replaceEvery + time.Duration(rand.Int64N(int64(time.Second/5))))
		m.leave(e.id)
		if err := e.setState("draining"); err != nil {
			m.b.note("%s can't say that it leaves: %v", e.id, err)
			return
		}
		m.b.note("%s leaves", e.id)
		time.AfterFunc(serveOn, e.leave)
	}
}

// ranTwice returns the requests of which more than one run has begun. A run that goes on with an earlier
// one is the same run.
func (m *llm) ranTwice() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	byRequest := make(map[string][]*run)
	movedRuns := 0
	for _, w := range m.runs {
		if w.goesOn {
			movedRuns++
			continue
		}
		byRequest[w.request] = append(byRequest[w.request], w)
	}
	var broken []string
	for id, runs := range byRequest {
		if len(runs) < 2 {
			continue
		}
		text := "TWICE: request " + id + " may run once, and ran"
		for _, w := range runs {
			text += fmt.Sprintf(" at %s from event %d for %v;", w.engine, w.first, w.ended.Sub(w.began).Round(time.Millisecond))
		}
		broken = append(broken, text)
	}
	m.b.note("%d requests, %d runs went on elsewhere as the same run, %d requests ran twice", len(byRequest), movedRuns, len(broken))
	return broken
}
