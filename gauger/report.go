package gauger

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"apricotwinch"
)

// Bounds of the latency histogram.
const (
	maxLatency = time.Minute
	digits     = 3
)

// Report is what was measured in one run, from the end of the warm-up or the
// detection time on.
type Report struct {
	scenario  Scenario
	policy    Policy
	critical  *hdrhistogram.Histogram
	offered   int
	answered  int
	refused   [apricotwinch.Critical + 1]int
	displaced int
	failed    int
	attempts  int
	faulty    int
	doubled   int
}

func newReport(scenario Scenario, name Policy) *Report {
	return &Report{scenario: scenario, policy: name, critical: hdrhistogram.New(1, maxLatency.Microseconds(), digits)}
}

// counts reports whether a time is within the measurement.
func (r *Report) counts(m *model, at time.Time) bool {
	return at.Sub(m.start) >= r.scenario.measuredFrom()
}

func (r *Report) offer(m *model, q *request) {
	if r.counts(m, q.arrived) {
		r.offered++
	}
}

func (r *Report) refuse(m *model, q *request) {
	if !r.counts(m, q.arrived) {
		return
	}
	r.refused[q.urgency]++
	if q.urgency == apricotwinch.Critical && m.less > 0 {
		r.displaced++
	}
}

func (r *Report) attempt(m *model, a *attempt) {
	if !r.counts(m, m.now) {
		return
	}
	r.attempts++
	if a.host.failing {
		r.faulty++
	}
}

func (r *Report) answer(m *model, q *request) {
	if !r.counts(m, q.arrived) {
		return
	}
	r.answered++
	r.countDoubled(q)
	if q.urgency == apricotwinch.Critical {
		must(r.critical.RecordValue(m.now.Sub(q.arrived).Microseconds()))
	}
}

func (r *Report) fail(m *model, q *request) {
	if !r.counts(m, q.arrived) {
		return
	}
	r.failed++
	r.countDoubled(q)
	if q.urgency == apricotwinch.Critical {
		must(r.critical.RecordValue(deadline.Microseconds()))
	}
}

// countDoubled counts a request that ran twice and must not have.
func (r *Report) countDoubled(q *request) {
	if q.runs > 1 && !q.idempotent {
		r.doubled++
	}
}

// Quantile returns the latency of admitted critical requests at a quantile
// between 0 and 100; one that was not answered counts with its deadline.
func (r Report) Quantile(quantile float64) time.Duration {
	return time.Duration(r.critical.ValueAtQuantile(quantile)) * time.Microsecond
}

// Offered returns the number of requests that arrived.
func (r Report) Offered() int { return r.offered }

// Answered returns the number of requests answered before their deadline.
func (r Report) Answered() int { return r.answered }

// Refused returns the number of requests of an urgency that were refused.
func (r Report) Refused(urgency apricotwinch.Urgency) int { return r.refused[urgency] }

// Displaced returns the number of critical requests that were refused while a
// less urgent one was in flight at any entry.
func (r Report) Displaced() int { return r.displaced }

// Failed returns the number of requests that were admitted and not answered.
func (r Report) Failed() int { return r.failed }

// Doubled returns the number of requests that ran twice and must not have.
func (r Report) Doubled() int { return r.doubled }

// FaultyShare returns the share of attempts at a host that fails everything.
func (r Report) FaultyShare() float64 { return float64(r.faulty) / float64(r.attempts) }

// Goodput returns the requests answered before their deadline as a share of
// what all hosts could have answered in the time.
func (r Report) Goodput() float64 {
	measured := length - r.scenario.measuredFrom()
	return float64(r.answered) / (capacity * measured.Seconds())
}

// String returns the report as a row of a table.
func (r Report) String() string {
	refused := r.refused[apricotwinch.Batch] + r.refused[apricotwinch.Standard]
	return fmt.Sprintf("| %s | %s | %d | %d | %d | %.1f | %d | %d | %d | %d | %.2f | %d |",
		r.scenario.name, r.policy,
		r.Quantile(50).Milliseconds(), r.Quantile(99).Milliseconds(), r.Quantile(99.9).Milliseconds(),
		100*r.Goodput(), refused, r.refused[apricotwinch.Critical], r.displaced, r.failed,
		100*r.FaultyShare(), r.doubled)
}

// Header returns the header of the table of reports.
func Header() string {
	return "| scenario | policy | p50 ms | p99 ms | p99.9 ms | goodput % | shed | critical refused | of these displaced | failed | faulty host % | run twice |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
}
