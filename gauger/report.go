package gauger

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"apricotwinch"
)

// Range and precision of the latency histogram.
const (
	maxLatency        = time.Minute
	significantDigits = 3
)

// Report holds the measurements of one run, from the end of the warm-up on. In a scenario
// with a fault they begin at the start of the fault, or, if a slow host must be detected
// first, after the time allowed for that.
type Report struct {
	scenario            Scenario
	policy              Policy
	critical            *hdrhistogram.Histogram
	offered             int
	answered            int
	refused             [apricotwinch.Critical + 1]int
	displaced           int
	failed              int
	attempts            int
	failingHostAttempts int
	ranTwice            int
}

func newReport(scenario Scenario, name Policy) *Report {
	return &Report{scenario: scenario, policy: name, critical: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
}

// measures reports whether a time lies within the measured part of the run.
func (r *Report) measures(m *model, at time.Time) bool {
	return at.Sub(m.start) >= r.scenario.measurementStart()
}

func (r *Report) recordOffered(m *model, req *request) {
	if r.measures(m, req.arrived) {
		r.offered++
	}
}

func (r *Report) recordRefused(m *model, req *request) {
	if !r.measures(m, req.arrived) {
		return
	}
	r.refused[req.urgency]++
	if req.urgency == apricotwinch.Critical && m.lessUrgent > 0 {
		r.displaced++
	}
}

func (r *Report) recordAttempt(m *model, a *attempt) {
	if !r.measures(m, m.now) {
		return
	}
	r.attempts++
	if a.host.failing {
		r.failingHostAttempts++
	}
}

func (r *Report) recordAnswered(m *model, req *request) {
	if !r.measures(m, req.arrived) {
		return
	}
	r.answered++
	r.countRanTwice(req)
	if req.urgency == apricotwinch.Critical {
		must(r.critical.RecordValue(m.now.Sub(req.arrived).Microseconds()))
	}
}

func (r *Report) recordFailed(m *model, req *request) {
	if !r.measures(m, req.arrived) {
		return
	}
	r.failed++
	r.countRanTwice(req)
	if req.urgency == apricotwinch.Critical {
		must(r.critical.RecordValue(requestTimeout.Microseconds()))
	}
}

// countRanTwice counts a request that ran more than once although it is not idempotent.
func (r *Report) countRanTwice(req *request) {
	if req.runs > 1 && !req.idempotent {
		r.ranTwice++
	}
}

// Percentile returns the latency of admitted critical requests at a percentile between 0 and
// 100. A request that was not answered counts with the length of its timeout.
func (r Report) Percentile(percentile float64) time.Duration {
	return time.Duration(r.critical.ValueAtQuantile(percentile)) * time.Microsecond
}

// Offered returns the number of requests that arrived.
func (r Report) Offered() int { return r.offered }

// Answered returns the number of requests answered before their deadline.
func (r Report) Answered() int { return r.answered }

// Refused returns the number of requests of the given urgency that were refused.
func (r Report) Refused(urgency apricotwinch.Urgency) int { return r.refused[urgency] }

// Displaced returns the number of critical requests that were refused while a less urgent
// request was in flight at any entry.
func (r Report) Displaced() int { return r.displaced }

// Failed returns the number of requests that were admitted but not answered.
func (r Report) Failed() int { return r.failed }

// RanTwice returns the number of requests that ran more than once although they are not
// idempotent.
func (r Report) RanTwice() int { return r.ranTwice }

// FailingHostShare returns the share, from 0 to 1, of attempts that were sent to a host
// that fails everything.
func (r Report) FailingHostShare() float64 {
	return float64(r.failingHostAttempts) / float64(r.attempts)
}

// Goodput returns the number of requests answered before their deadline as a share, from 0
// to 1, of what all hosts together could have answered in the measured time.
func (r Report) Goodput() float64 {
	measured := runDuration - r.scenario.measurementStart()
	return float64(r.answered) / (capacity * measured.Seconds())
}

// String returns the report as a row of a Markdown table.
func (r Report) String() string {
	refused := r.refused[apricotwinch.Batch] + r.refused[apricotwinch.Standard]
	return fmt.Sprintf("| %s | %s | %d | %d | %d | %.1f | %d | %d | %d | %d | %.2f | %d |",
		r.scenario.name, r.policy,
		r.Percentile(50).Milliseconds(), r.Percentile(99).Milliseconds(), r.Percentile(99.9).Milliseconds(),
		100*r.Goodput(), refused, r.refused[apricotwinch.Critical], r.displaced, r.failed,
		100*r.FailingHostShare(), r.ranTwice)
}

// Header returns the header of the Markdown table of reports.
func Header() string {
	return "| scenario | policy | p50 ms | p99 ms | p99.9 ms | goodput % | shed | critical refused | of these displaced | failed | faulty host % | run twice |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
}
