// Package reporter serves a registry of metrics as a page in the Prometheus text
// format.
package reporter

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
)

// prefix stands before every name on the page.
const prefix = "apricotwinch_"

// quantiles are the shares of a timer's distribution that the page shows.
var quantiles = []float64{0.5, 0.99, 0.999}

var names = strings.NewReplacer(".", "_", "-", "_", "/", "_", " ", "_")

// New returns the handler of the page of registry.
func New(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		// An error here is a reader that has gone away.
		_, _ = w.Write([]byte(page(registry)))
	})
}

func page(registry metrics.Registry) string {
	var lines []string
	registry.Each(func(name string, metric any) {
		lines = append(lines, render(prefix+names.Replace(name), metric)...)
	})
	slices.Sort(lines)
	return strings.Join(lines, "")
}

func render(name string, metric any) []string {
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{line(name+"_total", float64(m.Count()))}
	case metrics.Gauge:
		return []string{line(name, float64(m.Value()))}
	case metrics.Timer:
		return renderTimer(name+"_seconds", m.Snapshot())
	}
	return nil
}

func renderTimer(name string, timer metrics.Timer) []string {
	lines := []string{line(name+"_count", float64(timer.Count()))}
	for _, q := range quantiles {
		label := fmt.Sprintf("%s{quantile=\"%g\"}", name, q)
		lines = append(lines, line(label, timer.Percentile(q)/float64(time.Second)))
	}
	return lines
}

func line(name string, value float64) string { return fmt.Sprintf("%s %g\n", name, value) }
