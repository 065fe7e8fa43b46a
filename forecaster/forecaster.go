// Package forecaster forecasts when a new workload would end behind the work that is ahead of it, and
// decides whether it is accepted or refused, and when the caller of a refused one should return.
//
// It does no I/O, reads no clock and makes the same decisions for the same inputs. It is not safe for
// concurrent use.
package forecaster

import (
	"maps"
	"math"
	"slices"
	"time"
)

// LateFactor is the multiple of its objective, from the caller's first attempt, after which a workload
// is worth nothing to the caller.
const LateFactor = 3

// Class is the class of a workload. Urgent work comes before best-effort work.
type Class int

// The classes.
const (
	Urgent Class = iota
	BestEffort
	// Classes is the number of classes.
	Classes
)

// String returns the name of the class in logs and metrics.
func (c Class) String() string {
	if c == BestEffort {
		return "best_effort"
	}
	return "urgent"
}

// Group identifies the workloads that share room as one: those of a queue from callers in one data
// centre.
type Group struct {
	Queue, DataCentre string
}

// Demand is a workload that is to be admitted.
type Demand struct {
	ID    string
	Group Group
	Class Class
	// Priority is the rank of the queue; lower numbers come first.
	Priority int
	// ChainLow and ChainHigh are the low and high quantile of its longest chain of dependent steps.
	ChainLow, ChainHigh time.Duration
	// Work is in processor seconds, Memory in byte seconds.
	Work, Memory float64
	// Processors are those of the steps that are ready at once.
	Processors float64
	// Objective is the time from the first attempt within which the caller wants the end.
	Objective time.Duration
}

// Load is the work of the accepted workloads of one group and class that haven't ended and may still
// help their callers.
type Load struct {
	Group    Group
	Class    Class
	Priority int
	// Count is the number of workloads, Work their processor seconds that are left, Memory the byte
	// seconds, and Chain the longest chain among them.
	Count        int
	Work, Memory float64
	Chain        time.Duration
	// OnTimeCount and OnTimeWork are of those that can still end within their objective.
	OnTimeCount int
	OnTimeWork  float64
}

// Backlog is the work ahead of a demand.
type Backlog struct {
	// Loads holds at most one load for each group and class, in an order that is always the same.
	Loads []Load
	// Waiting holds, by class, the processors of tasks that are ready and have no run.
	Waiting [Classes]float64
}

// Rate is a speed in processor seconds per second, with its uncertainty.
type Rate struct {
	Lower, Upper float64
}

// mean returns the middle of the rate.
func (r Rate) mean() float64 { return (r.Lower + r.Upper) / 2 }

// Room is what serves the backlog.
type Room struct {
	// Rates holds, by class, the speed at which work is done. The lower bound is 0 where it is not known.
	Rates [Classes]Rate
	// Free holds, by class, the processors on which tasks can start at once.
	Free [Classes]float64
	// Memory is in bytes.
	Memory float64
	// NoExecutorsFor is for how long no executor has been known; 0 if one is.
	NoExecutorsFor time.Duration
}

// Reason is why a demand is refused.
type Reason string

// The reasons.
const (
	// ReasonBacklog is that the work ahead is too long for an end within LateFactor times the objective.
	ReasonBacklog Reason = "backlog"
	// ReasonHeld is that it would fit but for the places that are held for others.
	ReasonHeld Reason = "held_places"
	// ReasonLate is that too much time has passed since the first attempt, whatever is ahead.
	ReasonLate Reason = "too_late"
	// ReasonNoExecutors is that no executor has been known for too long.
	ReasonNoExecutors Reason = "no_executors"
)

// Reasons returns all reasons, in a fixed order.
func Reasons() []Reason { return []Reason{ReasonBacklog, ReasonHeld, ReasonLate, ReasonNoExecutors} }

// Decision is the answer to a demand.
type Decision struct {
	Admit bool
	// Reason is empty if the demand is admitted.
	Reason Reason
	// Wait is the forecast time until it starts, EarliestEnd when it ends by the optimistic quantile,
	// and ExpectedEnd when it is expected to. They are zero where there is no forecast.
	Wait                     time.Duration
	EarliestEnd, ExpectedEnd time.Time
	// Ahead is the work ahead, in processor seconds.
	Ahead float64
	// FirstAttempt is when the caller first sent the workload, as far as that is remembered, and
	// Refusals is how often it was refused before.
	FirstAttempt time.Time
	Refusals     int
	// CountsFrom is the time from which the objective counts: the first attempt, or now if no end could be
	// in time from that.
	CountsFrom time.Time
	// RetryAfter is when the caller should return, in whole seconds; 0 if the demand is admitted.
	RetryAfter time.Duration
}

// Config holds the parameters of a Forecaster.
type Config struct {
	// MinRetry is the least wait of a caller that was refused. Retry-After holds whole seconds.
	MinRetry time.Duration
	// MaxRetry bounds the wait where a return can't help the first attempt any more, as the forecast of
	// a later time is worth little.
	MaxRetry time.Duration
	// Jitter is the greatest share by which a wait is lengthened, so that callers that were refused
	// together return apart.
	Jitter float64
	// HoldAfter is the number of refusals after which the place of a workload is held, as long as its return
	// can still end in time: later demands count its work as ahead.
	HoldAfter int
	// ForgiveAfter is the number of refusals after which the objective counts from the return if it can't be
	// met from the first attempt any more, so that none is refused for ever. What is accepted then is worth
	// little and takes the room of others.
	ForgiveAfter int
	// ReturnGrace is how long after its time a caller may return and is still remembered.
	ReturnGrace time.Duration
	// MaxRemembered bounds the refused workloads that are remembered. Those beyond it count from their
	// return.
	MaxRemembered int
}

// DefaultConfig returns the configuration that the owner uses.
func DefaultConfig() Config {
	return Config{
		MinRetry: time.Second,
		MaxRetry: 30 * time.Second,
		Jitter:   0.5,
		// A caller that retries four times then has two attempts left.
		HoldAfter: 2,
		// A caller that retries four times doesn't come back after the fifth refusal.
		ForgiveAfter: 5,
		// Rounding to whole seconds takes up to 1 s, and an attempt at an entry that fails up to the 3 s
		// for which clients wait.
		ReturnGrace: 5 * time.Second,
		// An entry takes about 300 bytes, so that all take 1.2 MB of an entry with 184 MB.
		MaxRemembered: 4096,
	}
}

// Forecaster decides which demands are admitted, and remembers those that were refused.
type Forecaster struct {
	config  Config
	refused map[string]*refusal
	// inOrder holds the refused workloads in the order of their first attempts, and lastNumber is the number
	// of the last.
	inOrder    []*refusal
	lastNumber int
	// returning sums up the refused workloads, and held those of them whose places are held.
	returning map[loadKey]*refusedLoad
	held      map[loadKey]*refusedLoad
	expiredAt time.Time
}

// New returns a forecaster that remembers no refusals.
func New(config Config) *Forecaster {
	return &Forecaster{config: config, refused: map[string]*refusal{}, returning: map[loadKey]*refusedLoad{}, held: map[loadKey]*refusedLoad{}}
}

// FirstAttempt returns when a workload was first refused, as far as that is remembered.
func (f *Forecaster) FirstAttempt(now time.Time, id string) (time.Time, bool) {
	f.expire(now)
	r, ok := f.refused[id]
	if !ok {
		return time.Time{}, false
	}
	return r.first, true
}

// Decide decides on a demand at the time now. The backlog of a demand that was refused before holds only
// what was first attempted before it: what was accepted since stands behind it.
func (f *Forecaster) Decide(now time.Time, d Demand, b Backlog, r Room) Decision {
	f.expire(now)
	decision := Decision{FirstAttempt: now}
	remembered := f.refused[d.ID]
	if remembered != nil {
		decision.FirstAttempt, decision.Refusals = remembered.first, remembered.count
	}
	limit := max(LateFactor*d.Objective, d.ChainLow)
	deadline := decision.FirstAttempt.Add(limit)
	decision.CountsFrom = decision.FirstAttempt
	if now.Add(d.ChainLow).After(deadline) {
		decision.CountsFrom = now
		if decision.Refusals >= f.config.ForgiveAfter {
			deadline = now.Add(limit)
		}
	}
	if r.NoExecutorsFor > 0 {
		f.decideBlind(now, d, r, limit, &decision)
	} else {
		f.forecast(now, d, b, r, deadline, &decision)
	}
	if decision.Admit {
		f.forget(d.ID)
		return decision
	}
	decision.RetryAfter = f.retryAfter(now, d, b, r, limit, decision)
	f.remember(now, d, limit, decision)
	return decision
}

// forecast decides on a demand by when it would end.
func (f *Forecaster) forecast(now time.Time, d Demand, b Backlog, r Room, deadline time.Time, decision *Decision) {
	rate := r.Rates[d.Class]
	own := time.Duration(0)
	if rate.mean() > 0 {
		own = seconds(d.Work / rate.mean())
	}
	held := f.heldFor(d)
	accepted := workAhead(d, b.Loads, nil, false)
	ahead, heldProcessors := accepted, 0.0
	if len(held) > 0 {
		ahead, heldProcessors = workAhead(d, b.Loads, held, false), processorsOf(held)
	}
	behindAccepted := waitBehind(d, b, r, accepted, rate.Upper)
	optimistic := waitBehind(d, b, r, ahead, rate.Upper)
	// What can still be on time is served first.
	onTime := waitBehind(d, b, r, workAhead(d, b.Loads, nil, true), rate.Upper)
	if onTime+d.ChainLow <= decision.FirstAttempt.Add(d.Objective).Sub(now) {
		optimistic = min(optimistic, onTime)
	}
	decision.Ahead = ahead.Work
	decision.Wait = waitBehind(d, b, r, ahead, rate.mean())
	decision.EarliestEnd = now.Add(optimistic + d.ChainLow)
	decision.ExpectedEnd = now.Add(min(maxForecast, decision.Wait+max(own, d.ChainHigh)))
	free := b.Waiting[d.Class]+heldProcessors+d.Processors <= r.Free[d.Class]
	switch {
	case free || !decision.EarliestEnd.After(deadline):
		decision.Admit = true
	case now.Add(d.ChainLow).After(deadline):
		decision.Reason = ReasonLate
	case !now.Add(behindAccepted + d.ChainLow).After(deadline):
		decision.Reason = ReasonHeld
	default:
		decision.Reason = ReasonBacklog
	}
}

// decideBlind decides on a demand while no executor is known. As long as one may report in time, the
// demand is admitted.
func (f *Forecaster) decideBlind(now time.Time, d Demand, r Room, limit time.Duration, decision *Decision) {
	decision.Admit = r.NoExecutorsFor+d.ChainLow <= limit
	if !decision.Admit {
		decision.Reason = ReasonNoExecutors
	}
	decision.Wait, decision.EarliestEnd, decision.ExpectedEnd = 0, now.Add(d.ChainLow), now.Add(d.ChainHigh)
}

// maxForecast bounds a forecast, which is without limit where nothing is done.
const maxForecast = 24 * time.Hour

// waitBehind returns the time until the work that is ahead of a demand is done at the rate.
func waitBehind(d Demand, b Backlog, r Room, ahead Load, rate float64) time.Duration {
	if ahead.Work <= 0 && ahead.Memory <= 0 {
		return 0
	}
	wait := max(quotient(ahead.Work, rate), quotient(ahead.Memory, r.Memory))
	if b.Waiting[d.Class] <= 0 {
		// All that is ahead has begun, and is done after the longest chain.
		wait = min(wait, ahead.Chain)
	}
	return wait
}

// workAhead returns the sum of the loads, and of refused workloads, that are ahead of a demand; onTime
// restricts the loads to what can still end within its objective. Loads of less important queues and of the
// other class are not ahead, as best-effort rates are measured beside urgent work. Groups of the same priority
// take turns, so that of another group only as much is ahead as of the demand's own, and one more workload.
func workAhead(d Demand, loads []Load, refused map[loadKey]*refusedLoad, onTime bool) Load {
	var sum Load
	own, matched := 0.0, 0
	for i := range loads {
		if loads[i].Class == d.Class && loads[i].Group == d.Group {
			own = loads[i].part(onTime).Work
			break
		}
	}
	if r := refused[loadKey{group: d.Group, class: d.Class}]; r != nil {
		own += r.Work
	}
	for i := range loads {
		l := &loads[i]
		if l.Class != d.Class || l.Priority > d.Priority {
			continue
		}
		part := l.part(onTime)
		if len(refused) > 0 {
			if r := refused[loadKey{group: l.Group, class: l.Class}]; r != nil {
				part.add(r.Load, 1)
				matched++
			}
		}
		sum.add(part, shareAhead(d, &part, own))
	}
	if matched == len(refused) {
		return sum
	}
	for _, key := range slices.SortedFunc(maps.Keys(refused), compareKeys) {
		r := refused[key]
		listed := slices.ContainsFunc(loads, func(l Load) bool { return l.Class == key.class && l.Group == key.group })
		if !listed && r.Class == d.Class && r.Priority <= d.Priority {
			sum.add(r.Load, shareAhead(d, &r.Load, own))
		}
	}
	return sum
}

// shareAhead returns the share of a load that is ahead of a demand with an amount of work of its own group.
func shareAhead(d Demand, l *Load, own float64) float64 {
	if l.Group == d.Group || l.Priority != d.Priority || l.Count == 0 || l.Work <= 0 {
		return 1
	}
	return min(1, (own+l.Work/float64(l.Count))/l.Work)
}

// part returns the load, or the part of it that can still end within its objective.
func (l *Load) part(onTime bool) Load {
	part := *l
	if !onTime {
		return part
	}
	if l.Work > 0 {
		part.Memory *= l.OnTimeWork / l.Work
	}
	part.Count, part.Work = l.OnTimeCount, l.OnTimeWork
	return part
}

// add adds a share of another load.
func (l *Load) add(other Load, share float64) {
	l.Count += other.Count
	l.Work += share * other.Work
	l.Memory += share * other.Memory
	if other.Count > 0 {
		l.Chain = max(l.Chain, other.Chain)
	}
}

// quotient returns the time that an amount takes at a rate, at most maxForecast.
func quotient(amount, rate float64) time.Duration {
	switch {
	case amount <= 0:
		return 0
	case rate <= 0:
		return maxForecast
	}
	return seconds(amount / rate)
}

func seconds(s float64) time.Duration {
	if s >= maxForecast.Seconds() || math.IsNaN(s) {
		return maxForecast
	}
	return time.Duration(s * float64(time.Second))
}

// Delay returns the time after which all of the backlog of a class is expected to be done.
func Delay(class Class, b Backlog, r Room) time.Duration {
	var sum Load
	for _, l := range b.Loads {
		if l.Class == class {
			sum.Work += l.Work
		}
	}
	return quotient(sum.Work, r.Rates[class].mean())
}
