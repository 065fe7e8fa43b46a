// Package leaser keeps the life cycle of the attempts on one host: it checks
// commands of partition owners, starts attempts at the host's worker under
// leases, renews and ends the leases and reports ends until they are durable.
//
// It performs no I/O. A driver feeds it events with the time and carries out the
// actions that it returns. Every answer of the worker or of an owner may be lost
// or late; the driver then reports the error, or the answer when it comes.
package leaser

import (
	"slices"
	"strings"
	"time"

	"apricotwinch"
	"apricotwinch/arbiter"
	"apricotwinch/messenger"
)

// failuresToExpire is the number of failed lists after which an attempt whose
// lease is over is held for ended.
const failuresToExpire = 8

// Settings are the periods of a Leaser and the identity of its agent.
type Settings struct {
	// Incarnation is the incarnation of the agent's process.
	Incarnation string
	// Origin is the time of ticket 0.
	Origin time.Time
	// Settle is how long after Origin a list of the worker's tasks must be taken
	// before an attempt may start: no start of an earlier incarnation is under way
	// any more.
	Settle time.Duration
	// TicketLife is the greatest age of the ticket of an assignment.
	TicketLife time.Duration
	// ViewLife is the greatest age of the proof that the data centre is in service.
	ViewLife time.Duration
	// RenewEvery is the period of renewals to an owner.
	RenewEvery time.Duration
	// ReportEvery is the period of renewals while a final report isn't durable.
	ReportEvery time.Duration
	// ListEvery is the period of lists of the worker's tasks while attempts run.
	ListEvery time.Duration
	// RetryEvery is the pause before a call to the worker is tried again.
	RetryEvery time.Duration
	// Remember is how long an ended attempt is remembered.
	Remember time.Duration
	// Silence is how long the worker may say nothing of an attempt before its
	// lease is no longer renewed.
	Silence time.Duration
	// AdoptedLease is the longest lease that an attempt may hold that was found at
	// the worker.
	AdoptedLease time.Duration
	// Margin is added to the end of a lease before the attempt is held for over.
	Margin time.Duration
	// ClaimWithin is how long an attempt that was found at the worker is kept after
	// its end for an owner to claim it.
	ClaimWithin time.Duration
}

// DefaultSettings returns the standard periods for an agent's incarnation whose
// ticket 0 is at origin.
func DefaultSettings(incarnation string, origin time.Time) Settings {
	return Settings{
		Incarnation:  incarnation,
		Origin:       origin,
		Settle:       4 * time.Second,
		TicketLife:   4 * time.Second,
		ViewLife:     4 * time.Second,
		RenewEvery:   3 * time.Second,
		ReportEvery:  time.Second,
		ListEvery:    500 * time.Millisecond,
		RetryEvery:   500 * time.Millisecond,
		Remember:     time.Minute,
		Silence:      6 * time.Second,
		Margin:       2 * time.Second,
		AdoptedLease: 10 * time.Second,
		ClaimWithin:  10 * time.Minute,
	}
}

// Leaser holds the attempts of one host; it isn't safe for concurrent use.
type Leaser struct {
	settings Settings
	arbiter  *arbiter.Arbiter
	attempts map[apricotwinch.AttemptID]*attempt
	owners   map[int]*owner
	view     view
	settled  bool
	draining bool
	listing  bool
	nextList time.Time
	// listFailures is the number of lists that failed since one was answered.
	listFailures int
}

// New returns a leaser that takes the attempts' room from room.
func New(settings Settings, room *arbiter.Arbiter) *Leaser {
	return &Leaser{
		settings: settings,
		arbiter:  room,
		attempts: make(map[apricotwinch.AttemptID]*attempt),
		owners:   make(map[int]*owner),
		nextList: settings.Origin,
	}
}

// Ticket returns the ticket of now: milliseconds since the origin.
func (l *Leaser) Ticket(now time.Time) int {
	return int(now.Sub(l.settings.Origin).Milliseconds())
}

// Origin returns the time of ticket 0.
func (l *Leaser) Origin() time.Time { return l.settings.Origin }

// ticketTime returns the time of a ticket.
func (l *Leaser) ticketTime(ticket int) time.Time {
	return l.settings.Origin.Add(time.Duration(ticket) * time.Millisecond)
}

// unixMillis returns t in milliseconds of the host's clock as it stands at now.
func unixMillis(now, t time.Time) int {
	return int(now.Add(t.Sub(now)).UnixMilli())
}

// Settled reports whether the tasks at the worker are known, so that attempts
// may start.
func (l *Leaser) Settled() bool { return l.settled }

// Tick returns the actions that are due at now.
func (l *Leaser) Tick(now time.Time) Actions {
	var actions Actions
	for _, a := range l.sorted() {
		l.expire(now, a)
		l.disclaim(now, a)
		l.advance(now, a, &actions)
		l.remove(now, a)
	}
	l.list(now, &actions)
	l.renew(now, &actions)
	return actions
}

// Drain refuses assignments from now on and evicts every attempt.
func (l *Leaser) Drain(now time.Time) Actions {
	l.draining = true
	for _, a := range l.sorted() {
		if a.live() {
			a.order(drainOrder())
		}
	}
	return l.Tick(now)
}

func drainOrder() stopOrder {
	return stopOrder{checkpoint: true, phase: messenger.ReportEvicted, reason: string(apricotwinch.Draining)}
}

// Drained reports whether no attempt runs and every final report is durable.
func (l *Leaser) Drained() bool {
	for _, a := range l.attempts {
		if a.live() || a.unreported() {
			return false
		}
	}
	return true
}

// Running returns the number of attempts that may run at the worker.
func (l *Leaser) Running() int {
	n := 0
	for _, a := range l.attempts {
		if a.live() {
			n++
		}
	}
	return n
}

// Live reports whether an attempt may run at the worker.
func (l *Leaser) Live(id apricotwinch.AttemptID) bool {
	a := l.attempts[id]
	return a != nil && a.live()
}

// expire ends an attempt whose lease is over while the worker doesn't answer: it
// can't tell how the attempt ended, but by its lease it has.
func (l *Leaser) expire(now time.Time, a *attempt) {
	if !a.live() || l.listFailures < failuresToExpire || now.Before(a.over().Add(l.settings.Margin)) {
		return
	}
	l.end(now, a, messenger.TaskReport{Phase: messenger.ReportEvicted, Checkpoint: a.checkpoint, Reason: reasonLapsed})
}

// disclaim gives up an ended attempt that no owner claimed.
func (l *Leaser) disclaim(now time.Time, a *attempt) {
	if !a.live() && !a.routed && now.Sub(a.endedAt) >= l.settings.ClaimWithin {
		a.unclaimed = true
	}
}

func (l *Leaser) silent(now time.Time, a *attempt) bool {
	return now.Sub(a.confirmed) > l.settings.Silence
}

// advance issues the calls to the worker that a is due.
func (l *Leaser) advance(now time.Time, a *attempt, actions *Actions) {
	if a.stopDue() && !now.Before(a.retryAt) {
		a.stopping = true
		checkpoint := a.stop != nil && a.stop.checkpoint
		actions.Stops = append(actions.Stops, messenger.WorkerStop{Attempt: refOf(a.id), Checkpoint: checkpoint})
	}
	if a.leaseDue() && !now.Before(a.retryAt) {
		a.telling = true
		actions.Leases = append(actions.Leases, Lease{id: a.id, until: a.lease, unixMillis: unixMillis(now, a.lease)})
	}
	if a.forgetDue() && !now.Before(a.retryAt) {
		a.retryAt = now.Add(l.settings.RetryEvery)
		actions.Forgets = append(actions.Forgets, refOf(a.id))
	}
}

// remove drops an ended attempt that needs no longer be remembered.
func (l *Leaser) remove(now time.Time, a *attempt) {
	if a.live() || now.Sub(a.endedAt) < l.settings.Remember {
		return
	}
	if a.unreported() || a.forgetDue() || a.revived {
		return
	}
	delete(l.attempts, a.id)
}

// list asks for the worker's tasks when that is due.
func (l *Leaser) list(now time.Time, actions *Actions) {
	if l.listing || now.Before(l.nextList) {
		return
	}
	if l.settled && l.Running() == 0 {
		return
	}
	l.listing = true
	actions.List = true
}

func (l *Leaser) sorted() []*attempt {
	all := make([]*attempt, 0, len(l.attempts))
	for _, a := range l.attempts {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return compareIDs(a.id, b.id) })
	return all
}

func compareIDs(a, b apricotwinch.AttemptID) int {
	if c := strings.Compare(a.Job(), b.Job()); c != 0 {
		return c
	}
	if c := a.Task() - b.Task(); c != 0 {
		return c
	}
	return a.Attempt() - b.Attempt()
}
