package comparer

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency bounds the recorded latencies.
const maxLatency = time.Hour

// Result is what one run measured.
type Result struct {
	scenario    string
	policy      Policy
	latencies   *hdrhistogram.Histogram
	submitted   int
	starts      int
	completions int
	work        float64
	evictions   int
	moved       int
	throttles   int
	refused     int
	parked      int
	onFailing   int
	overcommits int
	tickWork    int
	maxTickWork int
	slowestTick time.Duration
	tickBegan   time.Time
}

func newResult(scenario string, policy Policy) Result {
	return Result{
		scenario:  scenario,
		policy:    policy,
		latencies: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
	}
}

// Pool returns the sums, greatest values and merged latencies of runs of one
// scenario and policy, as over several seeds; there must be one run at least.
func Pool(results ...Result) Result {
	pooled := newResult(results[0].scenario, results[0].policy)
	for _, r := range results {
		pooled.latencies.Merge(r.latencies)
		pooled.submitted += r.submitted
		pooled.starts += r.starts
		pooled.completions += r.completions
		pooled.work += r.work
		pooled.evictions += r.evictions
		pooled.moved += r.moved
		pooled.throttles += r.throttles
		pooled.refused += r.refused
		pooled.parked += r.parked
		pooled.onFailing += r.onFailing
		pooled.overcommits += r.overcommits
		pooled.maxTickWork = max(pooled.maxTickWork, r.maxTickWork)
		pooled.slowestTick = max(pooled.slowestTick, r.slowestTick)
	}
	return pooled
}

// Scenario returns the name of the scenario.
func (r Result) Scenario() string { return r.scenario }

// Policy returns the policy that ran.
func (r Result) Policy() Policy { return r.policy }

// Latency returns a percentile, 0 to 100, of the latency of requests answered
// after the warm-up.
func (r Result) Latency(percentile float64) time.Duration {
	return time.Duration(r.latencies.ValueAtPercentile(percentile)) * time.Microsecond
}

// Starts returns the attempts that agents accepted.
func (r Result) Starts() int { return r.starts }

// Submitted returns the tasks that arrived.
func (r Result) Submitted() int { return r.submitted }

// Completions returns the tasks completed.
func (r Result) Completions() int { return r.completions }

// Work returns the processor seconds of the tasks completed.
func (r Result) Work() float64 { return r.work }

// Evictions returns the tasks evicted by decision of the policy.
func (r Result) Evictions() int { return r.evictions }

// EvictionShare returns the evictions for each start.
func (r Result) EvictionShare() float64 { return ratio(r.evictions, r.starts) }

// Moved returns the tasks evicted because their data centre was out.
func (r Result) Moved() int { return r.moved }

// Throttles returns the throttles and restorations.
func (r Result) Throttles() int { return r.throttles }

// Refused returns the attempts that agents refused.
func (r Result) Refused() int { return r.refused }

// Parked returns the tasks that were given up.
func (r Result) Parked() int { return r.parked }

// FailingShare returns the part of the starts that went to a host that fails
// everything.
func (r Result) FailingShare() float64 { return ratio(r.onFailing, r.starts) }

// Overcommits returns how often, by tick, a host held more than its capacity.
func (r Result) Overcommits() int { return r.overcommits }

// MaxTickWork returns the greatest number of starts, cancellations and steps in
// one tick.
func (r Result) MaxTickWork() int { return r.maxTickWork }

// SlowestTick returns the longest real time that the decisions of a tick took.
func (r Result) SlowestTick() time.Duration { return r.slowestTick }

// Header returns the names of the columns of Row.
func Header() string {
	return "| scenario | version | p50 ms | p99 ms | p99.9 ms | starts | completed | processor s | evicted | of starts | moved | throttles | refused by agents | given up | on failing host | overcommits | most steps a tick |\n" +
		strings.Repeat("| --- ", 17) + "|"
}

// Row returns the result as a row of a table.
func (r Result) Row() string {
	return fmt.Sprintf("| %s | %s | %.0f | %.0f | %.0f | %d | %d | %.0f | %d | %.2f%% | %d | %d | %d | %d | %.2f%% | %d | %d |",
		r.scenario, r.policy, millis(r.Latency(50)), millis(r.Latency(99)), millis(r.Latency(99.9)),
		r.starts, r.completions, r.work, r.evictions, 100*r.EvictionShare(), r.moved, r.throttles, r.refused,
		r.parked, 100*r.FailingShare(), r.overcommits, r.maxTickWork)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (r *Result) answered(at, took, warmUp time.Duration) {
	if at >= warmUp {
		_ = r.latencies.RecordValue(min(took, maxLatency).Microseconds())
	}
}

func (r *Result) started(h *host) {
	r.starts++
	r.tickWork++
	if h.failing {
		r.onFailing++
	}
}

func (r *Result) complete(c *run, t *task) {
	if c.elapsed < c.scenario.warmUp {
		return
	}
	r.completions++
	r.work += float64(t.kind.size.ProcessorMillis()) / 1000 * meanWork
}

func (r *Result) beginTick() {
	r.tickWork = 0
	r.tickBegan = time.Now()
}

func (r *Result) endTick() {
	r.maxTickWork = max(r.maxTickWork, r.tickWork)
	r.slowestTick = max(r.slowestTick, time.Since(r.tickBegan))
}

// finish counts the requests that still wait as answered at the end, so that a
// queue that never empties shows.
func (r *Result) finish(c *run) {
	for _, h := range c.hosts {
		for _, arrived := range h.waiting {
			r.answered(c.elapsed, c.elapsed-arrived, c.scenario.warmUp)
		}
	}
}
