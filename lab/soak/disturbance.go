package soak

import (
	"slices"
	"time"

	"monsoonfork/lab/fleet"
)

// What disturbs an instance.
const (
	killed  = "killed"
	paused  = "paused"
	stopped = "stopped" // As planned.
	cutOff  = "cut off" // From the store and all other domains.
)

// disturbance is a time during which an instance could not do its work because
// of a fault that the run has made.
type disturbance struct {
	instance *fleet.Instance
	fault    string
	begin    time.Time
	end      time.Time // Zero while it lasts.
}

// disturb notes that an instance is disturbed from now on.
func (r *run) disturb(i *fleet.Instance, fault string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbances = append(r.disturbances, &disturbance{instance: i, fault: fault, begin: time.Now()})
}

// undisturb notes that the disturbance of an instance has ended.
func (r *run) undisturb(i *fleet.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.disturbances {
		if d.instance == i && d.end.IsZero() {
			d.end = time.Now()
		}
	}
}

// disturbed returns the first disturbance of an instance that touches the time
// between two instants, or nil. Only the named faults count; none means all.
func (r *run) disturbed(i *fleet.Instance, begin, end time.Time, faults ...string) *disturbance {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.disturbances {
		if d.instance != i || d.begin.After(end) || (!d.end.IsZero() && d.end.Before(begin)) {
			continue
		}
		if len(faults) == 0 || slices.Contains(faults, d.fault) {
			return d
		}
	}
	return nil
}

// instanceAt returns the instance with a caller address, or nil.
func (r *run) instanceAt(address string) *fleet.Instance {
	for _, i := range r.fleet.Instances {
		if string(i.Settings.CallerAddress) == address {
			return i
		}
	}
	return nil
}

// starts returns a number that changes whenever another process serves as the
// instance.
func (r *run) starts(i *fleet.Instance) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, d := range r.disturbances {
		if d.instance != i || (d.fault != killed && d.fault != stopped) {
			continue
		}
		n++
		if !d.end.IsZero() {
			n++
		}
	}
	return n
}
