package placement

import "time"

// queueOf returns the queue that a request waits in.
func (d *Dispatcher) queueOf(w *waiting) *fairQueue {
	if w.late {
		return d.late
	}
	return d.queue
}

// turn returns the queue that is served now: late requests have their turn
// only when no other waits.
func (d *Dispatcher) turn() *fairQueue {
	if d.queue.length > 0 {
		return d.queue
	}
	return d.late
}

// makeLate lets a request that has missed its target wait on among the late
// ones. It returns false when the request has to be refused: it was late
// before, or its organisation holds more than its share.
func (d *Dispatcher) makeLate(w *waiting, now time.Time) bool {
	end := w.expires.Add(d.tuning.LateGrace)
	if end.After(w.request.Deadline) {
		end = w.request.Deadline
	}
	if w.late || !end.After(now) || d.loud(w.request.Organisation) {
		return false
	}
	d.queue.remove(w)
	w.late = true
	w.expires, w.target = end, w.request.Deadline
	d.late.push(w)
	return true
}
