package coordinator

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/conductor"
	"apricotwinch/messenger"
	"apricotwinch/timekeeper"
)

// reportQueue passes the reports of agents from their handlers to reportLoop. Its lock is held only
// briefly, so that handlers don't wait while a batch is applied.
type reportQueue struct {
	mu    sync.Mutex
	inbox conductor.Inbox
	wake  chan struct{}
}

func newReportQueue() *reportQueue { return &reportQueue{wake: make(chan struct{}, 1)} }

// add queues a report and returns those that it supersedes.
func (q *reportQueue) add(r *conductor.WaitingReport) []*conductor.WaitingReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	superseded := q.inbox.Add(r)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return superseded
}

func (q *reportQueue) take() []*conductor.WaitingReport {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inbox.Take()
}

// reportResult is the reply to a report, or the error.
type reportResult struct {
	reply messenger.ReportReply
	err   error
}

// handleReport queues an agent's report and returns the reply. It fails with kind Revoked if
// a later report of the agent arrives before this one is applied.
func (c *Coordinator) handleReport(ctx context.Context, r messenger.Report) (messenger.ReportReply, error) {
	received := c.deps.Clock.Now()
	result := make(chan reportResult, 1)
	superseded := c.reports.add(&conductor.WaitingReport{
		Report:     r,
		ReceivedAt: received,
		Adoptable:  r.Epoch > 0 || c.awaitProof(ctx, received, r),
		Reply:      func(reply messenger.ReportReply, err error) { result <- reportResult{reply, err} },
	})
	metrics.GetOrRegisterCounter("report.received", c.deps.Registry).Inc(1)
	for _, earlier := range superseded {
		metrics.GetOrRegisterCounter("report.superseded", c.deps.Registry).Inc(1)
		earlier.Reply(messenger.ReportReply{}, apricotwinch.Errorf(apricotwinch.Revoked, "a later report of the agent has arrived"))
	}
	select {
	case <-ctx.Done():
		return messenger.ReportReply{}, apricotwinch.Errorf(apricotwinch.Draining, "report: %w", ctx.Err())
	case answer := <-result:
		return answer.reply, answer.err
	}
}

// reportLoop applies the reports that wait, in batches, until ctx is done.
func (c *Coordinator) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.reports.wake:
		}
		began := c.deps.Clock.Now()
		c.applyReports(ctx, c.reports.take())
		timekeeper.Sleep(ctx, c.deps.Clock, conductor.BatchPause(c.deps.Clock.Now().Sub(began)))
	}
}

// applyReports applies a batch of reports and replies to them before the scheduling pass, as leases
// must not wait for it.
func (c *Coordinator) applyReports(ctx context.Context, batch []*conductor.WaitingReport) {
	metrics.GetOrRegisterCounter("report.batches", c.deps.Registry).Inc(1)
	results := make([]reportResult, len(batch))
	c.mu.Lock()
	measured := c.measureHold(c.reportsHold)
	for i, r := range batch {
		results[i] = c.applyRecovering(r)
	}
	measured()
	c.mu.Unlock()
	for i, r := range batch {
		r.Reply(results[i].reply, results[i].err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(ctx, c.deps.Clock.Now(), false)
}

// applyRecovering applies a report. A panic, which would end the process with all that it serves, fails
// the one report with kind Internal instead. c.mu is held.
func (c *Coordinator) applyRecovering(r *conductor.WaitingReport) (result reportResult) {
	defer func() {
		if cause := recover(); cause != nil {
			metrics.GetOrRegisterCounter("report.panics", c.deps.Registry).Inc(1)
			result.err = apricotwinch.Errorf(apricotwinch.Internal, "report of %s: panic: %v\n%s", r.Report.Host, cause, debug.Stack())
		}
	}()
	return reportResult{reply: c.applyReport(c.deps.Clock.Now(), r)}
}

// applyReport applies a report and returns the reply. The reply names the owner; only the owner's
// reply comes from the conductor. c.mu is held.
func (c *Coordinator) applyReport(now time.Time, w *conductor.WaitingReport) messenger.ReportReply {
	r := w.Report
	c.elector.HandleHostReport(now, r.Host, int64(r.Epoch), time.Duration(r.OwnerSilentMillis)*time.Millisecond)
	if c.conductor != nil && !c.elector.IsOwner() {
		c.endOwnership("an agent knows a later epoch")
	}
	reply := messenger.ReportReply{Epoch: int(c.elector.Epoch()), OwnerAddress: c.elector.Owner().Address}
	switch authority := c.elector.HasAuthority(now); {
	case c.conductor == nil:
	case authority && w.Adoptable:
		c.recordApplied(now, w.ReceivedAt, r)
		reply = c.conductor.Report(now, c.elector.ProvenAt(now), r)
		reply.OwnerAddress = c.self.Address
	default:
		c.recordIgnored(r, authority)
	}
	reply.LookoutMillis = int(c.elector.ReportInterval().Milliseconds())
	if r.AsksMembers {
		reply.Members = c.elector.Standbys(now)
	}
	return reply
}
