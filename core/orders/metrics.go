package orders

import "github.com/rcrowley/go-metrics"

// orderMetrics are the metrics of a Controller.
type orderMetrics struct {
	isController metrics.Gauge   // 1 while this instance is the controller.
	fencing      metrics.Gauge   // Fencing number of its newest grant.
	takeovers    metrics.Counter // Number of times that it became the controller.
	sent         metrics.Counter // Orders that were sent.
	confirmed    metrics.Counter // Orders that an engine confirmed.
	refused      metrics.Counter // Orders that an engine refused for their fencing number.
	unconfirmed  metrics.Counter // Orders that were sent and whose outcome is unknown.
	notSent      metrics.Counter // Orders that were not sent: the lease had expired or there was no connection.
	differing    metrics.Gauge   // Engines that do not agree with the configuration text.
}

// newMetrics registers the metrics in r.
func newMetrics(r metrics.Registry) orderMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("Orders."+name, r) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("Orders."+name, r) }
	return orderMetrics{
		isController: gauge("Holding"),
		fencing:      gauge("Fencing"),
		takeovers:    counter("TakeOvers"),
		sent:         counter("Sent"),
		confirmed:    counter("Done"),
		refused:      counter("Refused"),
		unconfirmed:  counter("Unknown"),
		notSent:      counter("HeldBack"),
		differing:    gauge("EnginesDiffering"),
	}
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
