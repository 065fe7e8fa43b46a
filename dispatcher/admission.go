package dispatcher

import (
	"sync"
	"time"

	"apricotwinch"
	"apricotwinch/configurator"
	"apricotwinch/limiter"
	"apricotwinch/retrier"
	"apricotwinch/tracker"
)

// admission decides whether a request is admitted and whether it is tried again. Its
// mutex guards the limiter and the retrier.
type admission struct {
	entry *Entry

	mu      sync.Mutex
	limiter *limiter.Limiter
	retrier *retrier.Retrier
}

func newAdmission(entry *Entry) *admission {
	seed := seedOf(entry.settings.Name)
	return &admission{
		entry:   entry,
		limiter: limiter.New(limiter.DefaultConfig(), seed),
		retrier: retrier.New(retrier.DefaultConfig(), seed),
	}
}

// setQuotas applies the teams' quotas of the settings in force.
func (a *admission) setQuotas(view *configurator.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.entry.clock.Now()
	for _, team := range view.Teams() {
		quota, ok := view.Quota(team)
		if !ok {
			a.limiter.RemoveQuota(now, team)
			continue
		}
		limit, err := limiter.NewQuota(quota.RequestsPerSecond(), quota.RequestBurst(), quota.RequestsInFlight())
		if err != nil {
			a.entry.count("quota.invalid")
			continue
		}
		a.limiter.SetQuota(now, team, limit)
	}
}

// admit admits a request or returns why it is refused. The caller calls the returned
// function when the request has ended.
func (a *admission) admit(service tracker.Service, urgency apricotwinch.Urgency) (func(), error) {
	capacity := a.entry.fleet.capacity(service)
	entries, _ := a.entry.ownership.directory()
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.limiter.SetCapacity(service, capacity.Slots(), capacity.Connections(), max(1, len(entries))); err != nil {
		return nil, err
	}
	a.limiter.SetOtherRequests(service, capacity.OtherRequests())
	decision := a.limiter.Admit(a.entry.clock.Now(), service.Team(), service, urgency)
	if err := decision.Err(); err != nil {
		a.entry.count(decision.Counter())
		return nil, err
	}
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		decision.Permit().Release()
	}, nil
}

// recordFirstTry counts the first try of a request for the retry budgets of its team
// and host.
func (a *admission) recordFirstTry(team, host string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retrier.RecordFirstTry(team, host)
}

// remaining returns the time left for a try, or an error when too little is left.
func (a *admission) remaining(deadline time.Time) (time.Duration, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.retrier.Remaining(a.entry.clock.Now(), deadline)
}

// decideRetry decides whether a try that ended is followed by another, and counts the
// decision.
func (a *admission) decideRetry(try retrier.Try) retrier.Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	decision := a.retrier.Decide(a.entry.clock.Now(), try)
	a.entry.count(decision.Counter())
	return decision
}
