// Package provisioner decides how much of a resource a data centre keeps free for urgent work, from
// the amounts of such work that have lately become ready to start.
//
// It does no I/O and reads no clock. Amounts are in any unit, such as thousandths of a processor or
// bytes of memory, as long as one Provisioner gets only one.
package provisioner

import (
	"math"
	"time"
)

// Config holds the parameters of a Provisioner.
type Config struct {
	// Resolution is the length of the intervals in which arrivals are summed.
	Resolution time.Duration
	// History is the time over which arrivals are observed; the reserve is given back that long after the
	// last one.
	History time.Duration
	// MaxWindow bounds the time in which running work is expected to free as much as arrives. Work that takes
	// longer counts as if it took that long.
	MaxWindow time.Duration
	// Turnaround is added to the duration of work: the time from the end of a run until its room is used
	// again.
	Turnaround time.Duration
	// MinObserved is the time for which a data centre is observed before its reserve follows arrivals.
	MinObserved time.Duration
	// Deviations is the number of standard deviations above the mean that the reserve covers.
	Deviations float64
	// MinShare and MaxShare bound the reserve, as shares of the capacity, 0 to 1. InitialShare is the reserve
	// until arrivals have been observed for MinObserved.
	MinShare, MaxShare, InitialShare float64
}

// MaxWindow is the longest time that the reserve looks ahead. Work that takes longer frees too little in time to
// be counted on.
const MaxWindow = 3 * time.Second

// DefaultConfig returns the configuration for processors.
func DefaultConfig() Config {
	return Config{
		Resolution: 100 * time.Millisecond,
		// Ten of the longest windows fit, so that their spread is known, and room returns within half a
		// minute of calm.
		History:   30 * time.Second,
		MaxWindow: MaxWindow,
		// An end is reported and the next start ordered and carried out within about that time.
		Turnaround:   100 * time.Millisecond,
		MinObserved:  10 * time.Second,
		Deviations:   2,
		MinShare:     0.02,
		MaxShare:     0.2,
		InitialShare: 0.1,
	}
}

// MemoryConfig returns the configuration for memory: the same, but nothing is kept free unless arrivals
// show a demand.
func MemoryConfig() Config {
	config := DefaultConfig()
	config.MinShare, config.InitialShare = 0, 0
	return config
}

// Provisioner observes the arrivals of urgent work by data centre. It is not safe for concurrent use.
type Provisioner struct {
	config   Config
	arrivals map[string]*arrivals
}

// arrivals holds the arrivals at one data centre in a ring of intervals, the last of which is incomplete.
type arrivals struct {
	// since is when the observation began, and last the number of the last interval, counted from 0.
	since time.Time
	last  int64
	// amounts holds the sum of an interval, work the sum of amounts times seconds of duration, and afterLoss the
	// sum of the amounts that there would be without the largest other data centre.
	amounts, work, afterLoss []float64
	estimate                 Estimate
	// estimatedAt is the last interval when the estimate was made; -1 for never.
	estimatedAt int64
}

// Estimate is what the reserve of a data centre is derived from.
type Estimate struct {
	// Mean and Deviation describe the amount that arrives within Window, the time in which running work is
	// expected to free as much.
	Mean, Deviation float64
	// MeanAfterLoss is the mean that there would be if the largest other data centre went out of service.
	MeanAfterLoss float64
	Window        time.Duration
	// Observed is how much time the estimate covers.
	Observed time.Duration
}

// New returns a Provisioner that has observed nothing.
func New(config Config) *Provisioner {
	return &Provisioner{config: config, arrivals: map[string]*arrivals{}}
}

// Observe records an amount of urgent work that has become ready to start, of which a data centre has the given
// share. Its tasks are expected to take the given duration.
func (p *Provisioner) Observe(now time.Time, dataCentre string, amount int64, share Share, duration time.Duration) {
	a := p.advance(now, dataCentre)
	at := int(a.last % int64(len(a.amounts)))
	usual := math.Round(share.Usual * float64(amount))
	a.amounts[at] += usual
	a.work[at] += usual * min(duration, p.config.MaxWindow).Seconds()
	a.afterLoss[at] += math.Round(share.AfterLoss * float64(amount))
}

// Reserve returns the amount of a capacity that a data centre keeps free. running is the amount that urgent work
// has taken already and frees within MaxWindow: the demand that is covered includes it.
func (p *Provisioner) Reserve(now time.Time, dataCentre string, capacity, running int64) int64 {
	a := p.advance(now, dataCentre)
	share := func(s float64) int64 { return int64(s * float64(capacity)) }
	if now.Sub(a.since) < p.config.MinObserved {
		return share(p.config.InitialShare)
	}
	demand := int64(math.Ceil(p.demand(p.estimate(a))))
	return max(share(p.config.MinShare), min(demand-running, share(p.config.MaxShare)))
}

// Estimate returns what the reserve of a data centre is derived from at a time.
func (p *Provisioner) Estimate(now time.Time, dataCentre string) Estimate {
	return p.estimate(p.advance(now, dataCentre))
}

// advance returns the arrivals at a data centre with now in the last interval. A time before that changes
// nothing.
func (p *Provisioner) advance(now time.Time, dataCentre string) *arrivals {
	a := p.arrivals[dataCentre]
	if a == nil {
		n := int(p.config.History/p.config.Resolution) + 1
		a = &arrivals{since: now, amounts: make([]float64, n), work: make([]float64, n), afterLoss: make([]float64, n), estimatedAt: -1}
		p.arrivals[dataCentre] = a
	}
	last := max(a.last, int64(now.Sub(a.since)/p.config.Resolution))
	size := int64(len(a.amounts))
	if last-a.last >= size {
		clear(a.amounts)
		clear(a.work)
		clear(a.afterLoss)
		a.last = last
	}
	for a.last < last {
		a.last++
		a.amounts[a.last%size], a.work[a.last%size], a.afterLoss[a.last%size] = 0, 0, 0
	}
	return a
}

// estimate returns the estimate over the whole history or over its last MinObserved, whichever demands more: a
// burst counts at once, and is forgotten only with the history. It changes only with the last interval.
func (p *Provisioner) estimate(a *arrivals) Estimate {
	if a.estimatedAt == a.last {
		return a.estimate
	}
	complete := min(a.last, int64(len(a.amounts))-1)
	recent := min(complete, int64(p.config.MinObserved/p.config.Resolution))
	a.estimate, a.estimatedAt = p.estimateOver(a, complete), a.last
	if e := p.estimateOver(a, recent); p.demand(e) > p.demand(a.estimate) {
		a.estimate = e
	}
	return a.estimate
}

// demand returns the amount that must have room: usual work with its spread, or the mean after the loss of another
// data centre. Both at once are not provided for.
func (p *Provisioner) demand(e Estimate) float64 {
	return max(e.Mean+p.config.Deviations*e.Deviation, e.MeanAfterLoss)
}

// estimateOver returns the mean and the spread of what arrives within a window, over all windows of the last
// complete intervals.
func (p *Provisioner) estimateOver(a *arrivals, complete int64) Estimate {
	size, first := int64(len(a.amounts)), a.last-complete
	sum, work, afterLoss := 0.0, 0.0, 0.0
	for i := first; i < a.last; i++ {
		sum += a.amounts[i%size]
		work += a.work[i%size]
		afterLoss += a.afterLoss[i%size]
	}
	window := int64(1)
	if sum > 0 {
		window = int64(math.Round((work/sum + p.config.Turnaround.Seconds()) / p.config.Resolution.Seconds()))
		window = max(1, min(window, complete))
	}
	var within, total, squares float64
	for i := first; i < a.last; i++ {
		within += a.amounts[i%size]
		if i-window >= first {
			within -= a.amounts[(i-window)%size]
		}
		if i-window >= first-1 {
			total += within
			squares += within * within
		}
	}
	e := Estimate{Window: time.Duration(window) * p.config.Resolution, Observed: time.Duration(complete) * p.config.Resolution}
	if windows := float64(complete - window + 1); complete > 0 {
		e.Mean = total / windows
		e.MeanAfterLoss = afterLoss * float64(window) / float64(complete)
		e.Deviation = math.Sqrt(max(0, squares/windows-e.Mean*e.Mean))
	}
	return e
}
