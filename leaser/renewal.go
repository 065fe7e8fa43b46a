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
	reports := l.reports()
	partitions := make([]int, 0, len(reports))
	for partition := range reports {
		partitions = append(partitions, partition)
	}
	slices.Sort(partitions)
	for _, partition := range partitions {
		o := l.owner(partition)
		if o.address == "" || o.calling || !l.renewDue(now, partition, o) {
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
			reports:   reports[partition],
		})
	}
}

// reports returns a report on each attempt that an owner must hear of, by
// partition.
func (l *Leaser) reports() map[int][]messenger.TaskReport {
	reports := make(map[int][]messenger.TaskReport)
	for _, a := range l.sorted() {
		if a.routed && (a.live() || !a.durable) {
			reports[a.partition] = append(reports[a.partition], a.reportNow())
		}
	}
	return reports
}

func (l *Leaser) renewDue(now time.Time, partition int, o *owner) bool {
	live, final := false, false
	for _, a := range l.attempts {
		if a.routed && a.partition == partition {
			live = live || a.live()
			final = final || a.unreported()
		}
	}
	since := now.Sub(o.lastCall)
	switch {
	case final:
		return o.urgent || since >= l.settings.ReportEvery
	case live:
		return o.urgent || since >= l.settings.RenewEvery
	default:
		return false
	}
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
