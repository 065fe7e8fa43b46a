// Package reporter serves a metrics registry in the Prometheus text format.
package reporter

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// prefix is the prefix of every metric name.
const prefix = "apricotwinch_"

// quantiles are the quantiles that are reported for each timer.
var quantiles = []float64{0.5, 0.99, 0.999}

// nameReplacer replaces the characters of registry names that metric names don't allow.
var nameReplacer = strings.NewReplacer(".", "_", "-", "_", "/", "_", " ", "_")

// New returns a handler that serves the metrics in registry.
func New(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		// An error means that the client has disconnected.
		_, _ = w.Write([]byte(renderPage(registry)))
	})
}

func renderPage(registry metrics.Registry) string {
	var lines []string
	registry.Each(func(name string, metric any) {
		lines = append(lines, renderMetric(prefix+nameReplacer.Replace(name), metric)...)
	})
	slices.Sort(lines)
	return strings.Join(lines, "")
}

func renderMetric(name string, metric any) []string {
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{renderLine(name+"_total", float64(m.Count()))}
	case metrics.Gauge:
		return []string{renderLine(name, float64(m.Value()))}
	case metrics.Timer:
		return renderTimer(name+"_seconds", m.Snapshot())
	}
	return nil
}

func renderTimer(name string, timer metrics.Timer) []string {
	lines := []string{renderLine(name+"_count", float64(timer.Count()))}
	for _, q := range quantiles {
		label := fmt.Sprintf("%s{quantile=\"%g\"}", name, q)
		lines = append(lines, renderLine(label, timer.Percentile(q)/float64(time.Second)))
	}
	return lines
}

func renderLine(name string, value float64) string { return fmt.Sprintf("%s %g\n", name, value) }
