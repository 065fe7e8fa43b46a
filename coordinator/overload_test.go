package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch"
	"apricotwinch/conductor"
	"apricotwinch/custodian"
	"apricotwinch/messenger"
)

// modelAgent reports to a modelOwner, in virtual time.
type modelAgent struct {
	reporter custodian.Reporter
	// dueAt is when the next report is sent; sentAt is when the one under way was sent, if waiting.
	dueAt, sentAt time.Time
	waiting       bool
	// missedAt is when the last answer was missed.
	missedAt   time.Time
	leaseUntil time.Time
	lapsed     bool
}

// modelOwner applies reports on one processor, in virtual time. Each report takes messageTime and each
// scheduling pass takes passTime.
type modelOwner struct {
	now                   time.Time
	messageTime, passTime time.Duration
	inbox                 conductor.Inbox
	agents                []*modelAgent
}

func newModelOwner(agents int, messageTime, passTime time.Duration) *modelOwner {
	o := &modelOwner{now: origin, messageTime: messageTime, passTime: passTime}
	for i := range agents {
		a := &modelAgent{dueAt: origin.Add(time.Duration(i) * time.Millisecond), leaseUntil: origin.Add(apricotwinch.ExecutorLease)}
		a.reporter.HandleOwner(a.dueAt)
		o.agents = append(o.agents, a)
	}
	return o
}

var origin = time.Unix(1_700_000_000, 0)

// receive takes the reports that agents have sent until now.
func (o *modelOwner) receive() {
	for i, a := range o.agents {
		a.lapsed = a.lapsed || o.now.After(a.leaseUntil)
		for {
			if a.waiting {
				if o.now.Sub(a.sentAt) < a.reporter.AnswerTimeout() {
					break
				}
				a.miss()
			}
			if a.dueAt.After(o.now) {
				break
			}
			a.sentAt, a.waiting = a.dueAt, true
			o.inbox.Add(o.newReport(i, a.sentAt))
		}
	}
}

// miss records that the answer to the report under way did not come in time.
func (a *modelAgent) miss() {
	a.missedAt = a.sentAt.Add(a.reporter.AnswerTimeout())
	a.dueAt, a.waiting = a.missedAt, false
	a.reporter.HandleFailure(a.missedAt, apricotwinch.Unknown)
}

func (o *modelOwner) newReport(agent int, sent time.Time) *conductor.WaitingReport {
	a := o.agents[agent]
	return &conductor.WaitingReport{
		Report: messenger.Report{Host: fmt.Sprint(agent), Incarnation: "1", TicketMillis: int(sent.Sub(origin).Milliseconds()), Whole: true},
		Reply: func(messenger.ReportReply, error) {
			if !a.waiting || a.sentAt != sent {
				return // The agent has given up the answer.
			}
			if o.now.Sub(sent) >= a.reporter.AnswerTimeout() {
				a.miss()
				return
			}
			a.reporter.HandleAnswer(o.now, sent)
			a.leaseUntil = sent.Add(apricotwinch.ExecutorLease)
			a.dueAt, a.waiting = sent.Add(custodian.DefaultConfig().WholeReportPeriod), false
			if a.dueAt.Before(o.now) {
				a.dueAt = o.now
			}
		},
	}
}

// runUntil applies the reports that are sent until then.
func (o *modelOwner) runUntil(end time.Time) {
	for o.now.Before(end) {
		o.receive()
		batch := o.inbox.Take()
		if len(batch) == 0 {
			o.now = o.now.Add(time.Millisecond)
			continue
		}
		began := o.now
		o.now = o.now.Add(time.Duration(len(batch)) * o.messageTime)
		for _, r := range batch {
			r.Reply(messenger.ReportReply{}, nil)
		}
		o.now = o.now.Add(o.passTime)
		o.now = o.now.Add(conductor.BatchPause(o.now.Sub(began)))
	}
}

// TestFleetRecoversFromOverload guards against an overload that feeds itself: an owner that could apply no
// reports for a second keeps up with them again, although its passes cost more while work waits.
func TestFleetRecoversFromOverload(t *testing.T) {
	const agents, messageTime, idlePassTime, busyPassTime = 240, 400 * time.Microsecond, 30 * time.Microsecond, 10 * time.Millisecond
	o := newModelOwner(agents, messageTime, idlePassTime)
	o.runUntil(origin.Add(3 * time.Second))
	o.now, o.passTime = o.now.Add(time.Second), busyPassTime
	recoveredBy := o.now.Add(time.Second)
	o.runUntil(o.now.Add(20 * time.Second))
	missing, lapsed := 0, 0
	for _, a := range o.agents {
		if a.missedAt.After(recoveredBy) {
			missing++
		}
		if a.lapsed {
			lapsed++
		}
	}
	if diff := cmp.Diff(0, missing); diff != "" {
		t.Errorf("agents without an answer in time a second after the overload (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, lapsed); diff != "" {
		t.Errorf("agents whose leases lapsed (-want +got):\n%s", diff)
	}
}
