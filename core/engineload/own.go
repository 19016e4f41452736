package engineload

import (
	"sync"
	"time"

	"monsoonfork/core/ident"
)

// ownReports is what the collector is known to have of this instance's load, so that reports
// contain only what has changed. It is used by the goroutine that reports.
type ownReports struct {
	collector ident.InstanceID
	reply     int64 // Sequence of its last reply; 0 if there is none.
	sent      map[engineKey]values
}

// reset forgets what the collector has. The next report contains everything.
func (o *ownReports) reset(collector ident.InstanceID) {
	*o = ownReports{collector: collector, sent: make(map[engineKey]values)}
}

// changes returns the loads that differ from what the collector has. An engine without load that
// the collector has with one is listed with 0.
func (o *ownReports) changes(loads map[engineKey]values) []engineValues {
	var list []engineValues
	for key, v := range loads {
		if o.sent[key] != v {
			list = append(list, engineValues{key, v})
		}
	}
	for key := range o.sent {
		if _, ok := loads[key]; !ok {
			list = append(list, engineValues{key: key})
		}
	}
	return list
}

// acknowledge records that the collector has these changes.
func (o *ownReports) acknowledge(sequence int64, list []engineValues) {
	o.reply = sequence
	for _, e := range list {
		if e.values == (values{}) {
			delete(o.sent, e.key)
		} else {
			o.sent[e.key] = e.values
		}
	}
}

// othersLoad is the load of all other instances, as the collector's replies have it.
type othersLoad struct {
	mu     sync.Mutex
	sentAt time.Time // When the report was sent that the last reply answers.
	loads  map[engineKey]values
}

// apply applies a reply to the report that was sent at the given time. If it is the first reply of
// the collector, it replaces what was known.
func (o *othersLoad) apply(list []engineValues, first bool, sentAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if first || o.loads == nil {
		o.loads = make(map[engineKey]values)
	}
	o.sentAt = sentAt
	for _, e := range list {
		if e.values == (values{}) {
			delete(o.loads, e.key)
		} else {
			o.loads[e.key] = e.values
		}
	}
}

// at returns the load of the others at an engine.
func (o *othersLoad) at(id ident.EndpointID) values {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.loads[keyOf(id)]
}

// state returns when the report was sent that the last reply answers, and the open requests of
// all other instances.
func (o *othersLoad) state() (sentAt time.Time, requests int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, v := range o.loads {
		requests += int64(v[running])
	}
	return o.sentAt, requests
}
