package platformsoak

import (
	"time"

	"monsoonfork/lab/process"
)

// A slow instance is suspended for slowPause of each slowPause + slowRun.
const (
	slowPause = 30 * time.Millisecond
	slowRun   = 10 * time.Millisecond
)

// slowInstance makes the process of an instance run for short times only, as on a machine
// that is overloaded by others, until the fault ends.
func slowInstance(r *run, t target) (func() error, error) {
	p := t.instance.currentProcess()
	r.interrupt(p.Name)
	end := untilEnd(func() { pauseShortly(p) })
	return func() error {
		end()
		r.interrupt(p.Name)
		return nil
	}, nil
}

// pauseShortly suspends a process for slowPause and lets it run for slowRun.
func pauseShortly(p *process.Process) {
	// The process may have ended.
	_ = p.Pause()
	time.Sleep(slowPause)
	_ = p.Resume()
	time.Sleep(slowRun)
}
