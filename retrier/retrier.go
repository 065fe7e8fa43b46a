// Package retrier decides whether and when a request is tried again.
//
// A request that may have run is tried again only if it is idempotent. Retries are
// limited by the budgets of the team and of the target that failed. First tries add
// to these budgets, so that retries can't multiply an overload. A retrier performs
// no I/O and is not safe for concurrent use.
package retrier

import (
	"math/rand/v2"
	"time"

	"apricotwinch"
)

// Retrier holds the retry budgets of one entry.
type Retrier struct {
	config  Config
	random  *rand.Rand
	teams   *budgetCache
	targets *budgetCache
}

// New returns a retrier with full budgets. The seed determines the jitter of delays.
func New(config Config, seed uint64) *Retrier {
	return &Retrier{
		config:  config,
		random:  rand.New(rand.NewPCG(seed, seed)),
		teams:   newBudgetCache(config.ratio, config.burst, config.maxTeams),
		targets: newBudgetCache(config.ratio, config.burst, config.maxTargets),
	}
}

// RecordFirstTry records the first try of a request of team, sent to target, which adds
// to the budgets of both.
func (r *Retrier) RecordFirstTry(team, target string) {
	r.teams.deposit(team)
	r.targets.deposit(target)
}

// Remaining returns the time left until the deadline, minus the margin, to be sent
// along with a request. It fails with kind DeadlineExceeded if none is left.
func (r *Retrier) Remaining(now, deadline time.Time) (time.Duration, error) {
	left := deadline.Sub(now) - r.config.margin
	if left <= 0 {
		return 0, apricotwinch.Errorf(apricotwinch.DeadlineExceeded, "%s left until the deadline, the margin is %s", deadline.Sub(now), r.config.margin)
	}
	return left, nil
}

// rule is a condition under which a request isn't tried again.
type rule struct {
	reason  Reason
	applies func(r *Retrier, at time.Time, try Try) bool
}

// rules are checked in order. The argument at is the time when the next try would start.
var rules = []rule{
	{Answered, func(_ *Retrier, _ time.Time, try Try) bool { return try.kind == "" }},
	{Final, func(_ *Retrier, _ time.Time, try Try) bool { return !maySucceedElsewhere[try.kind] }},
	{MayHaveRun, func(_ *Retrier, _ time.Time, try Try) bool {
		return !try.kind.ErrorResponse().NotRun() && !try.idempotent
	}},
	{Tries, func(r *Retrier, _ time.Time, try Try) bool { return try.number >= r.config.tries }},
	{Deadline, func(r *Retrier, at time.Time, try Try) bool { return at.Add(r.config.margin).After(try.deadline) }},
	{TargetBudget, func(r *Retrier, _ time.Time, try Try) bool { return !r.targets.hasRetry(try.target) }},
	{TeamBudget, func(r *Retrier, _ time.Time, try Try) bool { return !r.teams.hasRetry(try.team) }},
}

// Decide decides whether and when a request is tried again after a try ended. A retry
// is taken out of the budgets of the team and of the target that failed.
func (r *Retrier) Decide(now time.Time, try Try) Decision {
	at := now.Add(r.delay(try.number))
	for _, rule := range rules {
		if rule.applies(r, at, try) {
			return Decision{reason: rule.reason, kind: try.kind}
		}
	}
	r.targets.withdraw(try.target)
	r.teams.withdraw(try.team)
	return Decision{kind: try.kind, at: at}
}

// delay returns a random delay after try number, below a bound that doubles with each
// try.
func (r *Retrier) delay(number int) time.Duration {
	bound := apricotwinch.ExponentialBackoff(r.config.backoff, r.config.maxBackoff, number-1)
	return time.Duration(r.random.Float64() * float64(bound))
}
