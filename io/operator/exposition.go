package operator

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles that are written for each timer.
var quantiles = []float64{0.5, 0.95, 0.99}

// metricsText writes all metrics in the text exposition format of Prometheus, one
// sample a line.
func (s *server) metricsText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	lines := make(map[string]string)
	s.node.Metrics.Each(func(name string, metric any) {
		var b strings.Builder
		writeMetric(&b, metricName(name), metric)
		lines[name] = b.String()
	})
	names := make([]string, 0, len(lines))
	for name := range lines {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		_, _ = io.WriteString(w, lines[name])
	}
}

// metricName converts the name of a metric to its name in the exposition format.
func metricName(name string) string {
	return "monsoonfork_" + strings.ToLower(strings.NewReplacer(".", "_", "-", "_", " ", "_").Replace(name))
}

// writeMetric writes the samples of a metric. Timers are written in seconds.
func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case gometrics.Counter:
		_, _ = fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case gometrics.Gauge:
		_, _ = fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case gometrics.GaugeFloat64:
		_, _ = fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", name, name, m.Value())
	case gometrics.Timer:
		t := m.Snapshot()
		_, _ = fmt.Fprintf(w, "# TYPE %s_seconds summary\n", name)
		for i, value := range t.Percentiles(quantiles) {
			_, _ = fmt.Fprintf(w, "%s_seconds{quantile=\"%g\"} %g\n", name, quantiles[i], value/1e9)
		}
		_, _ = fmt.Fprintf(w, "%s_seconds_sum %g\n%s_seconds_count %d\n", name, float64(t.Sum())/1e9, name, t.Count())
	}
}
