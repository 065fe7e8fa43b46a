// Package generator is an open-loop load generator: it sends requests to a service at a
// constant rate, whether or not earlier ones were answered, and summarizes the results.
package generator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	"apricotwinch"
	"apricotwinch/requester"
)

// Range and precision of the latency histogram.
const (
	minRecordedLatency = time.Microsecond
	maxRecordedLatency = time.Hour
	significantDigits  = 3
)

// Plan describes the requests that a generator sends.
type Plan struct {
	// Service is the name of the service.
	Service string
	// PerSecond is the number of requests per second.
	PerSecond float64
	// Duration is the time during which requests are sent.
	Duration time.Duration
	// Body returns the body of request number n, from 0.
	Body func(n int) []byte
	// Options returns the options of request number n.
	Options func(n int) requester.Options
	// MaxInFlight bounds the requests in flight. A request over the bound is not sent and
	// counts as skipped.
	MaxInFlight int
}

// Generator sends the requests of one plan.
type Generator struct {
	plan  Plan
	clock clockwork.Clock
	send  func(ctx context.Context, n int) error

	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	failures map[apricotwinch.Kind]int
	sent     int
	skipped  int
	inFlight int
}

// New returns a generator that calls send for each request, numbered from 0. send returns
// the error of the request once the request has ended.
func New(plan Plan, clock clockwork.Clock, send func(ctx context.Context, n int) error) *Generator {
	return &Generator{
		plan:     plan,
		clock:    clock,
		send:     send,
		latency:  hdrhistogram.New(minRecordedLatency.Microseconds(), maxRecordedLatency.Microseconds(), significantDigits),
		failures: make(map[apricotwinch.Kind]int),
	}
}

// NewForService returns a generator that sends the requests of plan through r.
func NewForService(plan Plan, clock clockwork.Clock, r *requester.Requester) *Generator {
	return New(plan, clock, func(ctx context.Context, n int) error {
		_, err := r.Request(ctx, plan.Service, plan.Body(n), plan.Options(n))
		return err
	})
}

// Run sends requests until the plan's duration is over or ctx ends, waits for the requests
// in flight and returns the summary.
func (g *Generator) Run(ctx context.Context) Summary {
	var wg sync.WaitGroup
	total := int(g.plan.PerSecond * g.plan.Duration.Seconds())
	started := g.clock.Now()
	for n := range total {
		due := started.Add(time.Duration(float64(n) / g.plan.PerSecond * float64(time.Second)))
		if !g.sleepUntil(ctx, due) {
			break
		}
		if !g.acquire() {
			continue
		}
		wg.Go(func() { g.sendOne(ctx, n, due) })
	}
	wg.Wait()
	return g.summary(g.clock.Since(started))
}

// sleepUntil waits until due and returns true, or returns false when ctx ends first.
func (g *Generator) sleepUntil(ctx context.Context, due time.Time) bool {
	timer := g.clock.NewTimer(due.Sub(g.clock.Now()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.Chan():
		return true
	}
}

// acquire counts a request, and reports whether it may be sent within MaxInFlight.
func (g *Generator) acquire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent++
	if g.inFlight >= g.plan.MaxInFlight {
		g.skipped++
		return false
	}
	g.inFlight++
	return true
}

// sendOne sends one request and records its result. Latency is measured from due, so that it
// includes a delay of the generator itself.
func (g *Generator) sendOne(ctx context.Context, n int, due time.Time) {
	err := g.send(context.WithoutCancel(ctx), n)
	latency := g.clock.Since(due)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if err != nil {
		g.failures[apricotwinch.KindOf(err)]++
		return
	}
	_ = g.latency.RecordValue(max(minRecordedLatency, latency).Microseconds())
}

// Summary holds the results of a run. Sent also counts the skipped requests. Latencies are of
// answered requests, and Seconds is the time until the last of the requests in flight ended.
type Summary struct {
	Sent       int            `json:"sent"`
	Answered   int            `json:"answered"`
	Skipped    int            `json:"skipped"`
	Failures   map[string]int `json:"failures"`
	P50Millis  float64        `json:"p50Millis"`
	P99Millis  float64        `json:"p99Millis"`
	P999Millis float64        `json:"p999Millis"`
	MaxMillis  float64        `json:"maxMillis"`
	Seconds    float64        `json:"seconds"`
}

func (g *Generator) summary(elapsed time.Duration) Summary {
	g.mu.Lock()
	defer g.mu.Unlock()
	failures := make(map[string]int, len(g.failures))
	for kind, n := range g.failures {
		failures[string(kind)] = n
	}
	return Summary{
		Sent:       g.sent,
		Answered:   int(g.latency.TotalCount()),
		Skipped:    g.skipped,
		Failures:   failures,
		P50Millis:  g.percentileMillis(50),
		P99Millis:  g.percentileMillis(99),
		P999Millis: g.percentileMillis(99.9),
		MaxMillis:  g.percentileMillis(100),
		Seconds:    elapsed.Seconds(),
	}
}

// percentileMillis returns a percentile of the latency in milliseconds.
func (g *Generator) percentileMillis(percent float64) float64 {
	return float64(g.latency.ValueAtQuantile(percent)) / float64(time.Millisecond/time.Microsecond)
}

// String returns the summary as one line.
func (s Summary) String() string {
	text := fmt.Sprintf("sent %d, answered %d, p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms, max %.1f ms",
		s.Sent, s.Answered, s.P50Millis, s.P99Millis, s.P999Millis, s.MaxMillis)
	if s.Skipped > 0 {
		text += fmt.Sprintf(", skipped %d", s.Skipped)
	}
	for _, kind := range s.sortedKinds() {
		text += fmt.Sprintf(", %s %d", kind, s.Failures[kind])
	}
	return text
}

func (s Summary) sortedKinds() []string {
	kinds := make([]string, 0, len(s.Failures))
	for kind := range s.Failures {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}
