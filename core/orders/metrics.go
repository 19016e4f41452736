package orders

import "github.com/rcrowley/go-metrics"

// orderMetrics are the controller's metrics.
type orderMetrics struct {
	holding   metrics.Gauge   // 1 while this instance is the controller.
	fencing   metrics.Gauge   // Newest fencing number that it was given.
	takeovers metrics.Counter // Times that it became the controller.
	sent      metrics.Counter // Orders that left.
	done      metrics.Counter // Orders that an engine confirmed.
	refused   metrics.Counter // Orders that an engine refused for their fencing number.
	unknown   metrics.Counter // Orders that left and were not confirmed.
	heldBack  metrics.Counter // Orders that did not leave: lease lapsed or no connection.
	differing metrics.Gauge   // Engines that do not agree with the text.
}

// newMetrics registers the metrics in r.
func newMetrics(r metrics.Registry) orderMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("Orders."+name, r) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("Orders."+name, r) }
	return orderMetrics{
		holding:   gauge("Holding"),
		fencing:   gauge("Fencing"),
		takeovers: counter("TakeOvers"),
		sent:      counter("Sent"),
		done:      counter("Done"),
		refused:   counter("Refused"),
		unknown:   counter("Unknown"),
		heldBack:  counter("HeldBack"),
		differing: gauge("EnginesDiffering"),
	}
}

// boolGauge returns 1 for true.
func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
