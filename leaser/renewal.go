package leaser

import (
	"slices"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// owner is the last known owner of one partition.
type owner struct {
	epoch       int
	address     string
	callPending bool
	lastCall    time.Time
	renewNow    bool
}

func (l *Leaser) owner(partition int) *owner {
	o := l.owners[partition]
	if o == nil {
		o = &owner{}
		l.owners[partition] = o
	}
	return o
}

// updateOwner updates the owner of a partition from an entry's reply to a heartbeat, unless the reply
// has an older epoch.
func (l *Leaser) updateOwner(p messenger.PartitionOwner) {
	o := l.owner(p.Partition)
	if p.Epoch < o.epoch || p.Epoch == o.epoch && p.Address == o.address {
		return
	}
	o.epoch = p.Epoch
	o.address = p.Address
	o.renewNow = true
}

// checkEpoch returns an error of kind StaleEpoch if a newer epoch of the partition was seen, and
// remembers epoch otherwise.
func (l *Leaser) checkEpoch(partition, epoch int) error {
	o := l.owner(partition)
	if epoch < o.epoch {
		return apricotwinch.Errorf(apricotwinch.StaleEpoch,
			"partition %d: epoch %d was replaced by %d", partition, epoch, o.epoch)
	}
	o.epoch = epoch
	return nil
}

// addRenewals adds the renewals that are due: requests to owners to renew leases and to record final
// reports.
func (l *Leaser) addRenewals(now time.Time, actions *Actions) {
	batches := l.pendingReports()
	for _, partition := range l.partitions() {
		o, batch := l.owners[partition], batches[partition]
		if o.address == "" || o.callPending || !l.renewalDue(now, o, batch) {
			continue
		}
		o.callPending = true
		o.renewNow = false
		o.lastCall = now
		actions.Renewals = append(actions.Renewals, Renewal{
			address:   o.address,
			partition: partition,
			epoch:     o.epoch,
			ticket:    l.Ticket(now),
			reports:   batch.reports,
		})
	}
}

// maxReportBytes bounds the size of each checkpoint and result, and their total size in one renewal.
const maxReportBytes = 4 << 20

// reportBatch holds the reports to send to the owner of one partition.
type reportBatch struct {
	reports          []messenger.TaskReport
	bytes            int
	hasRunning       bool
	hasUnreportedEnd bool
}

// pendingReports returns the reports for the owner of each partition. An attempt whose partition is
// unknown is reported to every owner: its owner is the one that grants it a lease.
func (l *Leaser) pendingReports() map[int]reportBatch {
	pending := make(map[int]reportBatch, len(l.owners))
	for _, a := range l.sortedAttempts() {
		if a.durable || a.unclaimed || a.refusalReplied {
			continue
		}
		if a.partitionKnown {
			pending[a.partition] = pending[a.partition].add(a)
			continue
		}
		for _, partition := range l.partitions() {
			pending[partition] = pending[partition].addAsRunning(a)
		}
	}
	return pending
}

// add adds the report of a. A final report that would exceed maxReportBytes is deferred to a later
// renewal, and a is reported as running until then.
func (b reportBatch) add(a *attempt) reportBatch {
	report := a.currentReport()
	size := len(report.Checkpoint) + len(report.Result)
	if b.bytes > 0 && b.bytes+size > maxReportBytes {
		return b.addAsRunning(a)
	}
	b.bytes += size
	b.reports = append(b.reports, report)
	b.hasRunning = b.hasRunning || a.mayRun()
	b.hasUnreportedEnd = b.hasUnreportedEnd || a.unreported()
	return b
}

// addAsRunning adds a report that a is running, even if it has ended.
func (b reportBatch) addAsRunning(a *attempt) reportBatch {
	b.reports = append(b.reports, a.runningReport())
	b.hasRunning = true
	return b
}

// renewalDue reports whether batch must be sent to the owner now.
func (l *Leaser) renewalDue(now time.Time, o *owner, batch reportBatch) bool {
	since := now.Sub(o.lastCall)
	switch {
	case batch.hasUnreportedEnd:
		return o.renewNow || since >= l.settings.ReportEvery
	case batch.hasRunning:
		return o.renewNow || since >= l.settings.RenewEvery
	default:
		return false
	}
}

// partitions returns the known partitions in ascending order.
func (l *Leaser) partitions() []int {
	partitions := make([]int, 0, len(l.owners))
	for partition := range l.owners {
		partitions = append(partitions, partition)
	}
	slices.Sort(partitions)
	return partitions
}

// Renewed processes an owner's reply to renewal, or the error of the call, however late it arrives.
// The leases that the reply grants are counted from the ticket of the renewal. The reply of a
// replaced owner is ignored; the second result is false in that case and true otherwise.
func (l *Leaser) Renewed(now time.Time, renewal Renewal, reply messenger.RenewReply, err error) (Actions, bool) {
	o := l.owner(renewal.partition)
	o.callPending = false
	if err != nil {
		return l.Tick(now), true
	}
	if l.checkEpoch(renewal.partition, reply.Epoch) != nil {
		return l.Tick(now), false
	}
	until := l.ticketTime(renewal.ticket).Add(time.Duration(reply.LeaseMillis) * time.Millisecond)
	l.recordClaims(renewal.partition, reply.Granted)
	for _, a := range l.attemptsOf(renewal.partition, reply.Granted) {
		l.extendLease(now, a, until)
	}
	for _, a := range l.attemptsOf(renewal.partition, reply.Stop) {
		a.requestStop(stopRequest{phase: messenger.ReportStopped, reason: ReasonCanceled})
	}
	for _, a := range l.attemptsOf(renewal.partition, reply.Durable) {
		a.durable = a.durable || !a.mayRun()
	}
	return l.Tick(now), true
}

// recordClaims records that the owner of partition claimed the attempts refs by granting them
// leases.
func (l *Leaser) recordClaims(partition int, refs []messenger.AttemptRef) {
	for _, ref := range refs {
		a := l.attempts[IDOf(ref)]
		if a == nil || a.partitionKnown {
			continue
		}
		a.partitionKnown = true
		a.partition = partition
		l.owner(partition).renewNow = !a.mayRun()
	}
}

// extendLease extends the lease of a to until. It never shortens the lease, and it doesn't extend
// the lease of an attempt that the worker no longer confirms.
func (l *Leaser) extendLease(now time.Time, a *attempt, until time.Time) {
	if !a.mayRun() || l.unconfirmed(now, a) || !until.After(a.leaseEnd) {
		return
	}
	a.leaseEnd = until
}

// attemptsOf returns the attempts among refs that are known to belong to partition.
func (l *Leaser) attemptsOf(partition int, refs []messenger.AttemptRef) []*attempt {
	var known []*attempt
	for _, ref := range refs {
		if a := l.attempts[IDOf(ref)]; a != nil && a.partitionKnown && a.partition == partition {
			known = append(known, a)
		}
	}
	return known
}
