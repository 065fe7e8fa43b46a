// Package leaser manages the life cycle of the attempts on one host. It checks the commands of
// partition owners, starts attempts at the host's worker under leases, renews and expires the
// leases, and reports the end of each attempt until the report is durable.
//
// The package performs no I/O. A driver calls it with events and the current time, and carries out
// the actions that it returns. Any answer of the worker or of an owner may be lost or delayed; the
// driver then passes the error, or the answer once it arrives.
package leaser

import (
	"slices"
	"strings"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/reserver"
)

// listFailuresToExpire is the number of consecutive failed lists after which an attempt whose lease
// has expired is considered ended.
const listFailuresToExpire = 8

// Settings holds the periods of a Leaser and the identity of its agent.
type Settings struct {
	// Incarnation is the incarnation of the agent's process.
	Incarnation string
	// Origin is the time of ticket 0.
	Origin time.Time
	// Settle is the time after Origin from which on a list of the worker's tasks is conclusive:
	// no start that an earlier incarnation sent can be in flight any more. No attempt may start
	// before such a list was received.
	Settle time.Duration
	// MaxTicketAge is the greatest age of the ticket of an assignment.
	MaxTicketAge time.Duration
	// MaxViewAge is the greatest age of the settings view that shows the data centre in service.
	MaxViewAge time.Duration
	// RenewEvery is the period of the renewals that are sent to an owner while attempts run.
	RenewEvery time.Duration
	// ReportEvery is the period of the renewals while a final report isn't durable.
	ReportEvery time.Duration
	// ListEvery is the period in which the worker's tasks are listed while attempts run.
	ListEvery time.Duration
	// RetryEvery is the delay before a failed call to the worker is retried.
	RetryEvery time.Duration
	// RetainEnded is how long an ended attempt is remembered.
	RetainEnded time.Duration
	// MaxUnconfirmed is how long the lease of an attempt is renewed after the worker last
	// confirmed that the attempt runs.
	MaxUnconfirmed time.Duration
	// MaxAdoptedLease is the longest lease that an attempt found at the worker may hold.
	MaxAdoptedLease time.Duration
	// ExpiryMargin is the time after the end of a lease before the attempt is considered ended.
	ExpiryMargin time.Duration
	// ClaimTimeout is how long an attempt that was found at the worker is kept after its end, so
	// that an owner can claim it.
	ClaimTimeout time.Duration
}

// DefaultSettings returns the default periods for the given incarnation of an agent, whose ticket 0
// is at origin.
func DefaultSettings(incarnation string, origin time.Time) Settings {
	return Settings{
		Incarnation:     incarnation,
		Origin:          origin,
		Settle:          4 * time.Second,
		MaxTicketAge:    4 * time.Second,
		MaxViewAge:      4 * time.Second,
		RenewEvery:      3 * time.Second,
		ReportEvery:     time.Second,
		ListEvery:       500 * time.Millisecond,
		RetryEvery:      500 * time.Millisecond,
		RetainEnded:     time.Minute,
		MaxUnconfirmed:  6 * time.Second,
		ExpiryMargin:    2 * time.Second,
		MaxAdoptedLease: 10 * time.Second,
		ClaimTimeout:    10 * time.Minute,
	}
}

// Leaser manages the attempts of one host. It isn't safe for concurrent use.
type Leaser struct {
	settings Settings
	reserver *reserver.Reserver
	attempts map[apricotwinch.AttemptID]*attempt
	owners   map[int]*owner
	proof    settingsProof
	settled  bool
	draining bool
	listing  bool
	nextList time.Time
	// listFailures is the number of lists that failed since the last answered one.
	listFailures int
}

// New returns a Leaser without attempts that reserves their resources in reservations.
func New(settings Settings, reservations *reserver.Reserver) *Leaser {
	return &Leaser{
		settings: settings,
		reserver: reservations,
		attempts: make(map[apricotwinch.AttemptID]*attempt),
		owners:   make(map[int]*owner),
		nextList: settings.Origin,
	}
}

// Ticket returns the ticket of now, which is the number of milliseconds since the origin.
func (l *Leaser) Ticket(now time.Time) int {
	return int(now.Sub(l.settings.Origin).Milliseconds())
}

// Origin returns the time of ticket 0.
func (l *Leaser) Origin() time.Time { return l.settings.Origin }

// ticketTime returns the time of a ticket.
func (l *Leaser) ticketTime(ticket int) time.Time {
	return l.settings.Origin.Add(time.Duration(ticket) * time.Millisecond)
}

// unixMillis converts t to Unix milliseconds. The distance of t from now is measured on the
// monotonic clock and added to the wall clock of now.
func unixMillis(now, t time.Time) int {
	return int(now.Add(t.Sub(now)).UnixMilli())
}

// Settled reports whether all tasks at the worker are known, so that attempts may start; see
// Settings.Settle.
func (l *Leaser) Settled() bool { return l.settled }

// Tick expires and removes attempts and returns the actions that are due at now.
func (l *Leaser) Tick(now time.Time) Actions {
	var actions Actions
	for _, a := range l.sortedAttempts() {
		l.expire(now, a)
		l.abandonUnclaimed(now, a)
		l.addWorkerCalls(now, a, &actions)
		l.dropEnded(now, a)
	}
	l.addList(now, &actions)
	l.addRenewals(now, &actions)
	return actions
}

// Drain evicts every attempt. Assignments are refused from then on.
func (l *Leaser) Drain(now time.Time) Actions {
	l.draining = true
	for _, a := range l.sortedAttempts() {
		if a.mayRun() {
			a.requestStop(drainRequest())
		}
	}
	return l.Tick(now)
}

func drainRequest() stopRequest {
	return stopRequest{checkpoint: true, phase: messenger.ReportEvicted, reason: string(apricotwinch.Draining)}
}

// Drained reports whether no attempt may run and every final report is durable.
func (l *Leaser) Drained() bool {
	for _, a := range l.attempts {
		if a.mayRun() || a.unreported() {
			return false
		}
	}
	return true
}

// Running returns the number of attempts that may run at the worker.
func (l *Leaser) Running() int {
	n := 0
	for _, a := range l.attempts {
		if a.mayRun() {
			n++
		}
	}
	return n
}

// MayRun reports whether an attempt may run at the worker.
func (l *Leaser) MayRun(id apricotwinch.AttemptID) bool {
	a := l.attempts[id]
	return a != nil && a.mayRun()
}

// expire ends an attempt whose lease expired while the worker doesn't answer. How the attempt ended
// is unknown, but the worker doesn't run it past its lease.
func (l *Leaser) expire(now time.Time, a *attempt) {
	if !a.mayRun() || l.listFailures < listFailuresToExpire || now.Before(a.latestLeaseEnd().Add(l.settings.ExpiryMargin)) {
		return
	}
	l.end(now, a, messenger.TaskReport{Phase: messenger.ReportEvicted, Checkpoint: a.checkpoint, Reason: reasonLeaseExpired})
}

// abandonUnclaimed gives up an ended attempt that no owner claimed within Settings.ClaimTimeout.
func (l *Leaser) abandonUnclaimed(now time.Time, a *attempt) {
	if !a.mayRun() && !a.partitionKnown && now.Sub(a.endedAt) >= l.settings.ClaimTimeout {
		a.unclaimed = true
	}
}

func (l *Leaser) unconfirmed(now time.Time, a *attempt) bool {
	return now.Sub(a.confirmedAt) > l.settings.MaxUnconfirmed
}

// addWorkerCalls adds the calls to the worker that are due for a.
func (l *Leaser) addWorkerCalls(now time.Time, a *attempt, actions *Actions) {
	if a.stopDue() && !now.Before(a.retryAt) {
		a.stopCallPending = true
		checkpoint := a.stop != nil && a.stop.checkpoint
		actions.Stops = append(actions.Stops, messenger.WorkerStop{Attempt: refOf(a.id), Checkpoint: checkpoint})
	}
	if a.leaseDue() && !now.Before(a.retryAt) {
		a.leaseCallPending = true
		actions.Leases = append(actions.Leases, Lease{id: a.id, until: a.leaseEnd, unixMillis: unixMillis(now, a.leaseEnd)})
	}
	if a.forgetDue() && !now.Before(a.retryAt) {
		a.retryAt = now.Add(l.settings.RetryEvery)
		actions.Forgets = append(actions.Forgets, refOf(a.id))
	}
}

// dropEnded removes an ended attempt that no longer needs to be remembered.
func (l *Leaser) dropEnded(now time.Time, a *attempt) {
	if a.mayRun() || now.Sub(a.endedAt) < l.settings.RetainEnded {
		return
	}
	if a.unreported() || a.forgetDue() || a.runsAfterEnd {
		return
	}
	delete(l.attempts, a.id)
}

// addList requests the list of the worker's tasks if it is due.
func (l *Leaser) addList(now time.Time, actions *Actions) {
	if l.listing || now.Before(l.nextList) {
		return
	}
	if l.settled && l.Running() == 0 {
		return
	}
	l.listing = true
	actions.List = true
}

func (l *Leaser) sortedAttempts() []*attempt {
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
