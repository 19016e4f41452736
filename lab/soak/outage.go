package soak

import (
	"slices"
	"time"

	"monsoonfork/lab/fleet"
)

// Causes of outages.
const (
	causeKilled  = "killed"
	causePaused  = "paused"
	causeStopped = "stopped" // A planned stop.
	causeCutOff  = "cut off" // The instance was cut off from the store and all other domains.
)

// outage is a time during which an instance could not work normally because of an
// injected fault.
type outage struct {
	instance *fleet.Instance
	cause    string
	begin    time.Time
	end      time.Time // Zero while the outage lasts.
}

// beginOutage records that an outage of an instance begins now.
func (r *run) beginOutage(i *fleet.Instance, cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outages = append(r.outages, &outage{instance: i, cause: cause, begin: time.Now()})
}

// endOutage records that the outages of an instance end now.
func (r *run) endOutage(i *fleet.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.outages {
		if o.instance == i && o.end.IsZero() {
			o.end = time.Now()
		}
	}
}

// outageDuring returns the first outage of an instance that overlaps the time between
// two instants, or nil. Only the given causes count; none means all.
func (r *run) outageDuring(i *fleet.Instance, begin, end time.Time, causes ...string) *outage {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.outages {
		if o.instance != i || o.begin.After(end) || (!o.end.IsZero() && o.end.Before(begin)) {
			continue
		}
		if len(causes) == 0 || slices.Contains(causes, o.cause) {
			return o
		}
	}
	return nil
}

// instanceWithAddress returns the instance that has a caller address, or nil.
func (r *run) instanceWithAddress(address string) *fleet.Instance {
	for _, i := range r.fleet.Instances {
		if string(i.Settings.CallerAddress) == address {
			return i
		}
	}
	return nil
}

// processGeneration returns a number that changes whenever a fault ends the process of
// an instance or starts a new one.
func (r *run) processGeneration(i *fleet.Instance) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, o := range r.outages {
		if o.instance != i || (o.cause != causeKilled && o.cause != causeStopped) {
			continue
		}
		n++
		if !o.end.IsZero() {
			n++
		}
	}
	return n
}
