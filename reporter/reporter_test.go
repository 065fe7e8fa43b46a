package reporter_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"

	"apricotwinch/reporter"
)

func TestPage(t *testing.T) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("refused.no_capacity", registry).Inc(3)
	metrics.GetOrRegisterGauge("tasks.waiting", registry).Update(-2)
	metrics.GetOrRegisterTimer("request.latency.critical", registry).Update(250 * time.Millisecond)
	recorder := httptest.NewRecorder()
	reporter.New(registry).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	goldie.New(t).Assert(t, "page", recorder.Body.Bytes())
}
