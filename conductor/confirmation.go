package conductor

import (
	"cmp"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch/messenger"
)

// Periods and bounds of what is logged and measured of runs that no list confirms.
const (
	// confirmationPeriod is the time between two looks at the confirmations of all runs.
	confirmationPeriod = time.Second
	// maxConfirmationAge is the age of its last confirmation up to which a run counts as confirmed.
	maxConfirmationAge = 3 * time.Second
	// unconfirmedLogPeriod is the time between two groups of lines about runs that aren't confirmed,
	// and maxUnconfirmedLines bounds the lines of a group.
	unconfirmedLogPeriod = 5 * time.Second
	maxUnconfirmedLines  = 4
)

// Names of the gauges of the confirmations.
const (
	gaugeUnconfirmed     = "runs.unconfirmed"
	gaugeConfirmationAge = "runs.confirmation_age_millis"
)

// Reasons for which no list confirms a run, besides those for which an executor is not listed.
const (
	startHeld          = "start held"
	ordersNotDelivered = "orders not delivered"
	startNotAnswered   = "start not answered"
	processedNotListed = "order processed but not listed"
)

// confirmations is when the confirmations of the runs were last looked at and logged.
type confirmations struct {
	checkedAt, loggedAt time.Time
}

// recordListed records that an agent has listed a run in a phase. The agent lists a run that the
// executor hasn't shown yet as starting.
func (r *run) recordListed(now time.Time, phase string) {
	r.listedAt = now
	if r.runningAt.IsZero() && phase == messenger.RunRunning {
		r.runningAt = now
	}
	if phase == messenger.RunStarting || phase == messenger.RunStopping && r.runningAt.IsZero() {
		return // A start that was stopped may have had no answer.
	}
	if r.confirmedAt.IsZero() && r.repeats == nil {
		r.task.step.occurrence.workload.confirmed++
	}
	r.confirmedAt = now
}

// firstUnanswered returns when the first of the starts on an executor was ordered that no list has confirmed; zero if there is
// none.
func (e *executor) firstUnanswered() time.Time {
	var first time.Time
	for _, r := range e.runs {
		if r.confirmedAt.IsZero() && r.ordersNumber != heldOrders && (first.IsZero() || r.startedAt.Before(first)) {
			first = r.startedAt
		}
	}
	return first
}

// unconfirmedSince returns when the executor last showed a run, or when this owner started or found
// it if the executor hasn't.
func (r *run) unconfirmedSince() time.Time {
	if r.confirmedAt.IsZero() {
		return r.startedAt
	}
	return r.confirmedAt
}

// unconfirmedReason returns why no list confirms a run.
func (r *run) unconfirmedReason(now time.Time) string {
	e := r.executor
	h := e.host
	switch {
	case r.ordersNumber == heldOrders:
		return startHeld
	case !h.reported || now.Sub(h.lastReportAt) > hostSilence:
		return hostSilent
	case e.reportedAt.Before(h.listedAt):
		return executorUnreported
	case !h.followsEpoch:
		return epochNotFollowed
	case r.ordersNumber > h.processedOrders:
		return ordersNotDelivered
	case !r.listedAt.IsZero() && r.listedAt.Equal(e.reportedAt):
		return startNotAnswered
	case e.incomplete:
		return listIncomplete
	}
	return processedNotListed
}

// checkConfirmations measures, once each confirmationPeriod, how long ago lists confirmed the runs,
// and logs those that have been unconfirmed for longest.
func (c *Conductor) checkConfirmations(now time.Time) {
	if now.Sub(c.confirmations.checkedAt) < confirmationPeriod {
		return
	}
	c.confirmations.checkedAt = now
	oldest := now
	unconfirmed := 0
	var first []*run
	for _, r := range c.runs {
		since := r.unconfirmedSince()
		if since.Before(oldest) {
			oldest = since
		}
		if now.Sub(since) <= maxConfirmationAge {
			continue
		}
		unconfirmed++
		if len(first) == maxUnconfirmedLines {
			if compareUnconfirmed(r, first[len(first)-1]) > 0 {
				continue
			}
			first = first[:len(first)-1]
		}
		at, _ := slices.BinarySearchFunc(first, r, compareUnconfirmed)
		first = slices.Insert(first, at, r)
	}
	c.setGauge(gaugeUnconfirmed, int64(unconfirmed))
	c.setGauge(gaugeConfirmationAge, now.Sub(oldest).Milliseconds())
	if unconfirmed == 0 || now.Sub(c.confirmations.loggedAt) < unconfirmedLogPeriod {
		return
	}
	c.confirmations.loggedAt = now
	for _, r := range first {
		c.logUnconfirmed(now, r, unconfirmed)
	}
}

// logUnconfirmed logs a run that no list confirms, one of a number of them. The number of the orders
// of a run that was found, or whose start is held, is 0.
func (c *Conductor) logUnconfirmed(now time.Time, r *run, unconfirmed int) {
	order := r.ordersNumber
	if order == heldOrders {
		order = 0
	}
	h := r.executor.host
	c.logger.Info("run not confirmed", "run", r.ref, "executor", r.executor.id, "host", h.name,
		"ageMillis", now.Sub(r.unconfirmedSince()).Milliseconds(), "reason", r.unconfirmedReason(now), "order", order, "processed", h.processedOrders,
		"reportAgeMillis", now.Sub(h.lastReportAt).Milliseconds(), "leaseMillis", r.executor.leaseEnd.Sub(now).Milliseconds(), "unconfirmed", unconfirmed)
}

// compareUnconfirmed orders runs by how long they have been unconfirmed, the longest first.
func compareUnconfirmed(a, b *run) int {
	return cmp.Or(
		a.unconfirmedSince().Compare(b.unconfirmedSince()),
		compareTasks(a.task, b.task),
		cmp.Compare(a.ref.Run, b.ref.Run),
	)
}

// ClearGauges sets the gauges to 0. The owner calls it when it stops, as its registry outlives it.
func (c *Conductor) ClearGauges() {
	for _, name := range []string{gaugeUnconfirmed, gaugeConfirmationAge} {
		c.setGauge(name, 0)
	}
	for _, reason := range waitReasons {
		c.setGauge(waitGauge(gaugeWaiting, reason), 0)
	}
	for _, reason := range stepWaitReasons() {
		c.setGauge(waitGauge(gaugeStepsWaiting, reason), 0)
	}
	c.setGauge(gaugeLongStepWaits, 0)
	c.setGauge(gaugeWithoutRun, 0)
	c.clearAdmissionGauges()
	c.setLeftOut(nil)
	c.setUnlisted(nil)
	c.clearReserve()
	c.setServiceGauges(nil, nil, nil)
	c.setGauge(gaugeReservations, 0)
}

func (c *Conductor) setGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, c.registry).Update(value)
}
