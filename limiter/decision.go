package limiter

import (
	"time"

	"apricotwinch"
)

// Reason is the reason why a request was refused. It is empty for an admission.
type Reason string

const (
	// Urgency is an unknown urgency.
	Urgency Reason = "urgency"
	// NoTarget is a service without a known target.
	NoTarget Reason = "no_target"
	// Load is a service with too many requests in flight for the urgency.
	Load Reason = "load"
	// Rate is a team with too many requests per second.
	Rate Reason = "rate"
	// Concurrency is a team with too many requests in flight.
	Concurrency Reason = "concurrency"
	// Teams is a team that can't be remembered, because too many others are active.
	Teams Reason = "teams"
)

// kinds maps each reason to the kind of the error that the caller gets.
var kinds = map[Reason]apricotwinch.Kind{
	Urgency:     apricotwinch.Invalid,
	NoTarget:    apricotwinch.NoTarget,
	Load:        apricotwinch.Overloaded,
	Rate:        apricotwinch.QuotaExceeded,
	Concurrency: apricotwinch.QuotaExceeded,
	Teams:       apricotwinch.Overloaded,
}

// Decision is the result of asking for the admission of one request.
type Decision struct {
	permit     *Permit
	reason     Reason
	urgency    apricotwinch.Urgency
	retryAfter time.Duration
}

// Permit returns the permit of an admitted request, and nil for a refused one.
func (d Decision) Permit() *Permit { return d.permit }

// Reason returns why the request was refused. It is empty if it was admitted.
func (d Decision) Reason() Reason { return d.reason }

// RetryAfter returns how long the caller of a refused request should wait before it
// sends the request again.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Err returns the error of a refused request, of kind Overloaded, QuotaExceeded,
// NoTarget or Invalid, and nil for an admitted one.
func (d Decision) Err() error {
	if d.permit != nil {
		return nil
	}
	return apricotwinch.Errorf(kinds[d.reason], "not admitted: %s", d.reason)
}

// Counter returns the name of the counter that counts decisions like d.
func (d Decision) Counter() string {
	if d.permit != nil {
		return "limiter.admitted." + d.urgency.String()
	}
	return "limiter.refused." + string(d.reason) + "." + d.urgency.String()
}

// Permit is the admission of one request. It counts as a request in flight until
// it is released.
type Permit struct {
	limiter  *Limiter
	team     *team
	load     *load
	urgency  apricotwinch.Urgency
	released bool
}

// Release ends the request in flight. Only the first call has an effect.
func (p *Permit) Release() {
	if p.released {
		return
	}
	p.released = true
	p.load.inFlight[p.urgency]--
	p.team.inFlight--
	p.limiter.markIdle(p.team)
}
