// Package retrier decides whether and when a request is tried again.
//
// A request that may have run is tried again only when it is idempotent. Retries
// are bounded by a budget of the team and one of the target that failed, which
// first tries fill, so that retries can't multiply an overload. A retrier
// performs no I/O and is not safe for concurrent use.
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
	teams   *ledger
	targets *ledger
}

// New returns a retrier with full budgets. The seed drives the jitter of delays.
func New(config Config, seed uint64) *Retrier {
	return &Retrier{
		config:  config,
		random:  rand.New(rand.NewPCG(seed, seed)),
		teams:   newLedger(config.ratio, config.burst, config.maxTeams),
		targets: newLedger(config.ratio, config.burst, config.maxTargets),
	}
}

// Began counts the first try of a request of team, sent to target.
func (r *Retrier) Began(team, target string) {
	r.teams.deposit(team)
	r.targets.deposit(target)
}

// Remaining returns the time left until the deadline, less the margin, to be
// sent along with a request. It fails with kind DeadlineExceeded when none is.
func (r *Retrier) Remaining(now, deadline time.Time) (time.Duration, error) {
	left := deadline.Sub(now) - r.config.margin
	if left <= 0 {
		return 0, apricotwinch.Errorf(apricotwinch.DeadlineExceeded, "%s left until the deadline, the margin is %s", deadline.Sub(now), r.config.margin)
	}
	return left, nil
}

// rule is one reason not to try again.
type rule struct {
	reason  Reason
	applies func(r *Retrier, at time.Time, try Try) bool
}

// rules are checked in order; at is when the next try would start.
var rules = []rule{
	{Answered, func(_ *Retrier, _ time.Time, try Try) bool { return try.kind == "" }},
	{Final, func(_ *Retrier, _ time.Time, try Try) bool { return !elsewhere[try.kind] }},
	{MayHaveRun, func(_ *Retrier, _ time.Time, try Try) bool { return !try.kind.Answer().NotRun() && !try.idempotent }},
	{Tries, func(r *Retrier, _ time.Time, try Try) bool { return try.number >= r.config.tries }},
	{Deadline, func(r *Retrier, at time.Time, try Try) bool { return at.Add(r.config.margin).After(try.deadline) }},
	{TargetBudget, func(r *Retrier, _ time.Time, try Try) bool { return !r.targets.affords(try.target) }},
	{TeamBudget, func(r *Retrier, _ time.Time, try Try) bool { return !r.teams.affords(try.team) }},
}

// Decide decides whether and when the request of a try that ended is tried
// again; a retry is taken out of both budgets.
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

// delay returns a random delay below a bound that doubles with each try.
func (r *Retrier) delay(number int) time.Duration {
	bound := apricotwinch.Doubled(r.config.backoff, r.config.maxBackoff, number-1)
	return time.Duration(r.random.Float64() * float64(bound))
}
