package comparer

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency is the longest latency that is recorded; longer ones count as maxLatency.
const maxLatency = time.Hour

// Result holds the measurements of one run, or of several pooled runs.
type Result struct {
	scenario        string
	policy          Policy
	latencies       *hdrhistogram.Histogram
	submitted       int
	starts          int
	completions     int
	work            float64
	evictions       int
	moved           int
	throttles       int
	refused         int
	parked          int
	startsOnFailing int
	overcommits     int
	tickWork        int
	maxTickWork     int
	slowestTick     time.Duration
	tickStarted     time.Time
}

func newResult(scenario string, policy Policy) Result {
	return Result{
		scenario:  scenario,
		policy:    policy,
		latencies: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
	}
}

// Pool combines runs of one scenario and policy, for example with several seeds. It adds
// up counts, merges latencies, and takes the maximum of MaxTickWork and SlowestTick. It
// panics without a result.
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
		pooled.startsOnFailing += r.startsOnFailing
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

// Latency returns the latency at a percentile, from 0 to 100, of the requests that were
// answered after the warm-up or were still waiting at the end.
func (r Result) Latency(percentile float64) time.Duration {
	return time.Duration(r.latencies.ValueAtPercentile(percentile)) * time.Microsecond
}

// Starts returns the number of attempts that agents accepted.
func (r Result) Starts() int { return r.starts }

// Submitted returns the number of tasks that were submitted.
func (r Result) Submitted() int { return r.submitted }

// Completions returns the number of tasks completed after the warm-up.
func (r Result) Completions() int { return r.completions }

// Work returns the processor seconds of the tasks completed after the warm-up, each
// counted with the mean run time.
func (r Result) Work() float64 { return r.work }

// Evictions returns the number of evictions that the policy requested.
func (r Result) Evictions() int { return r.evictions }

// EvictionShare returns the ratio of evictions to starts.
func (r Result) EvictionShare() float64 { return ratio(r.evictions, r.starts) }

// Moved returns the number of evictions of tasks whose data centre was out of service.
func (r Result) Moved() int { return r.moved }

// Throttles returns how often tasks were throttled or released from a throttle.
func (r Result) Throttles() int { return r.throttles }

// Refused returns the number of attempts that agents refused.
func (r Result) Refused() int { return r.refused }

// Parked returns the number of tasks that the policy stopped retrying.
func (r Result) Parked() int { return r.parked }

// FailingShare returns the fraction of the starts that were on a host that fails all
// batch work.
func (r Result) FailingShare() float64 { return ratio(r.startsOnFailing, r.starts) }

// Overcommits returns the number of hosts with more committed resources than capacity,
// counted at the end of every tick and added up.
func (r Result) Overcommits() int { return r.overcommits }

// MaxTickWork returns the greatest number of starts, cancellations and interference
// actions in one tick.
func (r Result) MaxTickWork() int { return r.maxTickWork }

// SlowestTick returns the longest real time that a tick took.
func (r Result) SlowestTick() time.Duration { return r.slowestTick }

// Header returns the header of a Markdown table with the columns of Row.
func Header() string {
	return "| scenario | version | p50 ms | p99 ms | p99.9 ms | starts | completed | processor s | evicted | of starts | moved | throttles | refused by agents | given up | on failing host | overcommits | most steps a tick |\n" +
		strings.Repeat("| --- ", 17) + "|"
}

// Row returns the result as a row of a Markdown table.
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

func (r *Result) recordLatency(at, latency, warmUp time.Duration) {
	if at >= warmUp {
		_ = r.latencies.RecordValue(min(latency, maxLatency).Microseconds())
	}
}

func (r *Result) recordStart(h *host) {
	r.starts++
	r.tickWork++
	if h.failing {
		r.startsOnFailing++
	}
}

func (r *Result) recordCompletion(sim *run, t *task) {
	if sim.elapsed < sim.scenario.warmUp {
		return
	}
	r.completions++
	r.work += float64(t.kind.size.ProcessorMillis()) / 1000 * meanWork
}

func (r *Result) beginTick() {
	r.tickWork = 0
	r.tickStarted = time.Now()
}

func (r *Result) endTick() {
	r.maxTickWork = max(r.maxTickWork, r.tickWork)
	r.slowestTick = max(r.slowestTick, time.Since(r.tickStarted))
}

// recordWaiting records the requests that still wait as answered at the end of the run.
// Otherwise a queue that never empties would not raise the latencies.
func (r *Result) recordWaiting(sim *run) {
	for _, h := range sim.hosts {
		for _, arrived := range h.waiting {
			r.recordLatency(sim.elapsed, sim.elapsed-arrived, sim.scenario.warmUp)
		}
	}
}
