package leaser

import (
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// owner is the owner of one partition as far as the agent knows.
type owner struct {
	epoch    int
	address  string
	calling  bool
	lastCall time.Time
	urgent   bool
}

func (l *Leaser) owner(partition int) *owner {
	o := l.owners[partition]
	if o == nil {
		o = &owner{}
		l.owners[partition] = o
	}
	return o
}

// meet takes the owner of a partition from an entry's answer.
func (l *Leaser) meet(p messenger.PartitionOwner) {
	o := l.owner(p.Partition)
	if p.Epoch < o.epoch || p.Epoch == o.epoch && p.Address == o.address {
		return
	}
	o.epoch = p.Epoch
	o.address = p.Address
	o.urgent = true
}

// checkEpoch returns an error when epoch is older than one that was seen.
func (l *Leaser) checkEpoch(partition, epoch int) error {
	o := l.owner(partition)
	if epoch < o.epoch {
		return apricotwinch.Errorf(apricotwinch.StaleEpoch,
			"partition %d: epoch %d was replaced by %d", partition, epoch, o.epoch)
	}
	o.epoch = epoch
	return nil
}

// renew asks owners to renew leases and to take final reports, as far as due.
func (l *Leaser) renew(now time.Time, actions *Actions) {
	agendas := l.agendas()
	for _, partition := range l.partitions() {
		o, agenda := l.owners[partition], agendas[partition]
		if o.address == "" || o.calling || !l.due(now, o, agenda) {
			continue
		}
		o.calling = true
		o.urgent = false
		o.lastCall = now
		actions.Renewals = append(actions.Renewals, Renewal{
			address:   o.address,
			partition: partition,
			epoch:     o.epoch,
			ticket:    l.Ticket(now),
			reports:   agenda.reports,
		})
	}
}

// maxReportBytes bounds the checkpoints and results in one renewal, and each of
// them.
const maxReportBytes = 4 << 20

// agenda is what the owner of one partition must hear.
type agenda struct {
	reports []messenger.TaskReport
	bytes   int
	live    bool
	final   bool
}

// agendas returns the agenda of each partition. An attempt of no known partition
// is on each: its owner is the one that grants it a lease.
func (l *Leaser) agendas() map[int]agenda {
	agendas := make(map[int]agenda, len(l.owners))
	for _, a := range l.sorted() {
		if a.durable || a.unclaimed || a.answered {
			continue
		}
		if a.routed {
			agendas[a.partition] = agendas[a.partition].with(a)
			continue
		}
		for _, partition := range l.partitions() {
			agendas[partition] = agendas[partition].probing(a)
		}
	}
	return agendas
}

// with adds the report of a. A final report for which the message has no room is
// put off: a is reported as running until there is.
func (g agenda) with(a *attempt) agenda {
	report := a.reportNow()
	size := len(report.Checkpoint) + len(report.Result)
	if g.bytes > 0 && g.bytes+size > maxReportBytes {
		return g.probing(a)
	}
	g.bytes += size
	g.reports = append(g.reports, report)
	g.live = g.live || a.live()
	g.final = g.final || a.unreported()
	return g
}

// probing adds a as running, whether or not it is.
func (g agenda) probing(a *attempt) agenda {
	g.reports = append(g.reports, a.probe())
	g.live = true
	return g
}

// due reports whether the owner must hear its agenda now.
func (l *Leaser) due(now time.Time, o *owner, g agenda) bool {
	since := now.Sub(o.lastCall)
	switch {
	case g.final:
		return o.urgent || since >= l.settings.ReportEvery
	case g.live:
		return o.urgent || since >= l.settings.RenewEvery
	default:
		return false
	}
}

// partitions returns the known partitions in order.
func (l *Leaser) partitions() []int {
	partitions := make([]int, 0, len(l.owners))
	for partition := range l.owners {
		partitions = append(partitions, partition)
	}
	slices.Sort(partitions)
	return partitions
}

// Renewed takes an owner's answer to renewal, however late. Leases that it
// grants are counted from the ticket of the renewal. The answer of a replaced
// owner is dropped, which the second result reports.
func (l *Leaser) Renewed(now time.Time, renewal Renewal, reply messenger.RenewReply, err error) (Actions, bool) {
	o := l.owner(renewal.partition)
	o.calling = false
	if err != nil {
		return l.Tick(now), true
	}
	if l.checkEpoch(renewal.partition, reply.Epoch) != nil {
		return l.Tick(now), false
	}
	until := l.ticketTime(renewal.ticket).Add(time.Duration(reply.LeaseMillis) * time.Millisecond)
	l.route(renewal.partition, reply.Granted)
	for _, a := range l.named(renewal.partition, reply.Granted) {
		l.grant(now, a, until)
	}
	for _, a := range l.named(renewal.partition, reply.Stop) {
		a.order(stopOrder{phase: messenger.ReportStopped, reason: ReasonCanceled})
	}
	for _, a := range l.named(renewal.partition, reply.Durable) {
		a.durable = a.durable || !a.live()
	}
	return l.Tick(now), true
}

// route notes that the owner of partition claimed refs by granting them a lease.
func (l *Leaser) route(partition int, refs []messenger.AttemptRef) {
	for _, ref := range refs {
		a := l.attempts[IDOf(ref)]
		if a == nil || a.routed {
			continue
		}
		a.routed = true
		a.partition = partition
		l.owner(partition).urgent = !a.live()
	}
}

// grant moves the end of a's lease to until, never back.
func (l *Leaser) grant(now time.Time, a *attempt, until time.Time) {
	if !a.live() || l.silent(now, a) || !until.After(a.lease) {
		return
	}
	a.lease = until
}

// named returns the known attempts of partition among refs.
func (l *Leaser) named(partition int, refs []messenger.AttemptRef) []*attempt {
	var known []*attempt
	for _, ref := range refs {
		if a := l.attempts[IDOf(ref)]; a != nil && a.routed && a.partition == partition {
			known = append(known, a)
		}
	}
	return known
}
