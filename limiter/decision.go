package limiter

import (
	"time"

	"apricotwinch"
)

// Reason is why a request was refused; the empty Reason is an admission.
type Reason string

const (
	// Urgency is an urgency that is not known.
	Urgency Reason = "urgency"
	// NoTarget is a service of which no target is known.
	NoTarget Reason = "no_target"
	// Load is a service with too many requests in flight for the urgency.
	Load Reason = "load"
	// Rate is a team with too many requests a second.
	Rate Reason = "rate"
	// Concurrency is a team with too many requests in flight.
	Concurrency Reason = "concurrency"
	// Teams is a team that can't be remembered: too many others are active.
	Teams Reason = "teams"
)

// kinds maps each reason to the error kind that a caller is told.
var kinds = map[Reason]apricotwinch.Kind{
	Urgency:     apricotwinch.Invalid,
	NoTarget:    apricotwinch.NoTarget,
	Load:        apricotwinch.Overloaded,
	Rate:        apricotwinch.QuotaExceeded,
	Concurrency: apricotwinch.QuotaExceeded,
	Teams:       apricotwinch.Overloaded,
}

// Decision is the answer to one request for admission.
type Decision struct {
	place      *Place
	reason     Reason
	urgency    apricotwinch.Urgency
	retryAfter time.Duration
}

// Place returns the place of an admitted request, nil for a refused one.
func (d Decision) Place() *Place { return d.place }

// Reason returns why the request was refused, empty when it was admitted.
func (d Decision) Reason() Reason { return d.reason }

// RetryAfter returns how long the caller of a refused request should wait.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Err returns the error of a refused request, of kind Overloaded, QuotaExceeded,
// NoTarget or Invalid, and nil for an admitted one.
func (d Decision) Err() error {
	if d.place != nil {
		return nil
	}
	return apricotwinch.Errorf(kinds[d.reason], "not admitted: %s", d.reason)
}

// Counter returns the name of the counter that counts decisions like d.
func (d Decision) Counter() string {
	if d.place != nil {
		return "limiter.admitted." + d.urgency.String()
	}
	return "limiter.refused." + string(d.reason) + "." + d.urgency.String()
}

// Place is what an admitted request holds until it ends.
type Place struct {
	limiter  *Limiter
	team     *team
	load     *load
	urgency  apricotwinch.Urgency
	released bool
}

// Release gives the place back; only the first call counts.
func (p *Place) Release() {
	if p.released {
		return
	}
	p.released = true
	p.load.inFlight[p.urgency]--
	p.team.inFlight--
	p.limiter.rest(p.team)
}
