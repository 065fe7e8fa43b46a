package agent

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// metricNames maps the separators of metric names to the text format's.
var metricNames = strings.NewReplacer(".", "_", "-", "_", "/", "_", " ", "_")

// serveMetrics writes counters and gauges in the Prometheus text format.
func (a *Agent) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	var lines []string
	a.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, metricLine(name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, metricLine(name, m.Value()))
		}
	})
	slices.Sort(lines)
	// An error here is a reader that has gone away.
	_, _ = fmt.Fprint(w, strings.Join(lines, ""))
}

func metricLine(name string, value int64) string {
	return fmt.Sprintf("apricotwinch_%s %d\n", metricNames.Replace(name), value)
}
