// Package engineload tells each instance how much load all other instances have at each engine,
// and the engine's pace as they have measured it.
package engineload

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"monsoonfork/core/engines"
	"monsoonfork/core/ident"
	"monsoonfork/core/link"
	"monsoonfork/core/membership"
)

const (
	// reportInterval is the time between two reports. A stream takes seconds, so that a report
	// misses few of those that begin.
	reportInterval = 300 * time.Millisecond
	// exchangeInterval is the time between two exchanges with another domain, whose engines
	// get few streams from here.
	exchangeInterval = 3 * reportInterval
	// reportTTL is how long a member's report, or the reply to it, is valid.
	reportTTL = 1500 * time.Millisecond
	// exchangeTTL is how long the totals of another domain are valid.
	exchangeTTL = 3 * time.Second
	// callTimeout bounds one call of a report or an exchange.
	callTimeout = 400 * time.Millisecond
	// maxChanges bounds the engines in one message with totals, so that the bytes a second
	// do not grow with the fleet. Other changes follow in the next messages.
	maxChanges = 96
)

// Reports exchanges the load at engines with the other instances. It is safe for concurrent
// use.
type Reports struct {
	log     log.Logger
	now     func() time.Time
	view    func() *membership.View
	engines func() []*engines.Engine
	call    link.CallFunc

	own       ownReports
	others    othersLoad
	collector *collector

	mu        sync.Mutex
	exchanges map[ident.DomainID]*exchangeState
}

// New returns the Reports of an instance. listEngines returns the engines whose load is
// reported; nothing is sent while there are none.
func New(view func() *membership.View, listEngines func() []*engines.Engine, call link.CallFunc, logger log.Logger, r metrics.Registry, now func() time.Time) *Reports {
	reports := &Reports{
		log:       log.With(logger, "part", "EngineLoad"),
		now:       now,
		view:      view,
		engines:   listEngines,
		call:      call,
		collector: newCollector(now),
		exchanges: make(map[ident.DomainID]*exchangeState),
	}
	metrics.NewRegisteredFunctionalGauge("EngineLoad.AgeMS", r, reports.ageMS)
	metrics.NewRegisteredFunctionalGauge("EngineLoad.OthersRunning", r, reports.othersRunning)
	return reports
}

// ownLoads returns what this instance has to report of the engines.
func (r *Reports) ownLoads() map[engineKey]values {
	loads := make(map[engineKey]values)
	now := r.now()
	for _, e := range r.engines() {
		if v := valuesOf(e.OwnReport(now)); v != (values{}) {
			key := keyOf(e.ID)
			loads[key] = loads[key].plus(v)
		}
	}
	return loads
}

// ageMS returns the time since the last report that was answered, in milliseconds; 0 if there
// is none.
func (r *Reports) ageMS() int64 {
	sentAt, _ := r.others.state()
	if sentAt.IsZero() {
		return 0
	}
	return r.now().Sub(sentAt).Milliseconds()
}

// othersRunning returns the open requests of all other instances, as of the last reply.
func (r *Reports) othersRunning() int64 {
	_, n := r.others.state()
	return n
}
