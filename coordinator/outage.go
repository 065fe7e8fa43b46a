package coordinator

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/messenger"
)

const (
	// minOutageWait is the least time after which a caller that was refused in an outage returns, as
	// Retry-After holds whole seconds.
	minOutageWait = time.Second
	// maxOutageSpread bounds how much later some of them return, so that the store isn't met by all at
	// once. A client retries four times within about three times its objective, which is 8 s for a
	// short chain; at 4 s each, half of the retries would come too late.
	maxOutageSpread = 3 * time.Second
	// answerMargin is the time before its deadline at which a submission that was not sent to the store is
	// given up, so that the refusal reaches the client: twice 5 ms between data centres and the client,
	// and waits for locks of the owner.
	answerMargin = 100 * time.Millisecond
)

// Reasons for refusals while the store is unavailable, as counted.
const (
	outageRefuses   = "refuses"
	outageSilent    = "silent"
	outageDeadline  = "deadline"
	outageWithdrawn = "withdrawn"
)

// withTimeLeft adds to a submission the time that its caller still waits, as the owner doesn't see the
// deadline of a call.
func withTimeLeft(ctx context.Context, method string, request messenger.WorkloadRequest) messenger.WorkloadRequest {
	deadline, ok := ctx.Deadline()
	if !ok || method != messenger.MethodSubmitWorkload {
		return request
	}
	request.TimeoutMillis = int(max(1, time.Until(deadline).Milliseconds()))
	return request
}

// submitTimed handles the submission that another entry has sent.
func (c *Coordinator) submitTimed(ctx context.Context, request messenger.WorkloadRequest) (messenger.WorkloadReply, error) {
	if request.TimeoutMillis > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(min(request.TimeoutMillis, maxTimeoutMillis))*time.Millisecond)
		defer cancel()
	}
	return c.submitLocally(ctx, request)
}

// maxTimeoutMillis bounds the time that another entry may say that its caller waits: an hour.
const maxTimeoutMillis = 3_600_000

// handlesOutages reports whether requests are refused early while the store is unavailable.
func (c *Coordinator) handlesOutages() bool {
	return c.settings.Features.Enabled(apricotwinch.FeatureOutage)
}

// unavailable returns an error of kind LogUnavailable that says when the caller should return, and counts the
// refusal by its reason; c.mu is held.
func (c *Coordinator) unavailable(now time.Time, reason, format string, args ...any) error {
	err := apricotwinch.Errorf(apricotwinch.LogUnavailable, format, args...)
	if !c.handlesOutages() {
		return err
	}
	metrics.GetOrRegisterCounter("outage.refused."+reason, c.deps.Registry).Inc(1)
	// An outage is expected to last as long again as it has lasted.
	spread := min(max(c.outageLength(now), minOutageWait), maxOutageSpread)
	wait := minOutageWait + time.Duration(rand.Float64()*float64(spread))
	return apricotwinch.WithRetryAfter(err, wait.Round(time.Second))
}

// refusalLog bounds the lines about submissions that are refused while the store is unavailable.
type refusalLog struct {
	// since is when the current refusalLogPeriod began, lines the number of its lines, and omitted that of the
	// refusals without one since the last line.
	since          time.Time
	lines, omitted int
}

const (
	// maxRefusalLines bounds the lines in refusalLogPeriod.
	maxRefusalLines  = 10
	refusalLogPeriod = time.Second
)

// logUnavailable logs that a submission was refused as the store is unavailable, unless there were many lately;
// c.mu is held.
func (c *Coordinator) logUnavailable(now time.Time, request messenger.WorkloadRequest, err error) {
	l := &c.refusalLog
	if now.Sub(l.since) >= refusalLogPeriod {
		l.since, l.lines = now, 0
	}
	if l.lines >= maxRefusalLines {
		l.omitted++
		return
	}
	l.lines++
	c.deps.Logger.Info("workload refused", "workload", request.Id, "queue", request.Queue, "error", err,
		"retryAfterMillis", apricotwinch.RetryAfterOf(err).Milliseconds(), "outageMillis", c.outageLength(now).Milliseconds(),
		"appendMillis", c.appendTook.Milliseconds(), "omitted", l.omitted)
	l.omitted = 0
}

// outageLength returns for how long the store has refused appends or not answered one; c.mu is held.
func (c *Coordinator) outageLength(now time.Time) time.Duration {
	length := time.Duration(0)
	for _, since := range []time.Time{c.refusedSince, c.appendStartedAt} {
		if !since.IsZero() {
			length = max(length, now.Sub(since))
		}
	}
	return length
}

// checkDeadline fails with kind LogUnavailable if the store needs more time to make a submission durable than
// its caller waits; c.mu is held.
func (c *Coordinator) checkDeadline(ctx context.Context, now time.Time) error {
	deadline, ok := ctx.Deadline()
	if !ok || !c.handlesOutages() {
		return nil
	}
	left, needed := time.Until(deadline), c.storeNeeds(now)
	if left >= needed {
		return nil
	}
	return c.unavailable(now, outageDeadline, "the store needs %s, the caller waits for %s", needed, left)
}

// storeNeeds returns how long the store is expected to take until a record that is new now is durable: an
// append that is pending comes first, and one that already takes longer than the last one is expected to take as
// long again. c.mu is held.
func (c *Coordinator) storeNeeds(now time.Time) time.Duration {
	needed := c.appendTook
	if !c.appendStartedAt.IsZero() {
		elapsed := now.Sub(c.appendStartedAt)
		if elapsed > c.appendTook {
			needed += elapsed
		} else {
			needed += c.appendTook - elapsed
		}
	}
	return needed
}

// giveUpTime returns a channel that receives a value shortly before the deadline of ctx; nil if it has none
// or the feature is off.
func (c *Coordinator) giveUpTime(ctx context.Context) <-chan time.Time {
	deadline, ok := ctx.Deadline()
	if !ok || !c.handlesOutages() {
		return nil
	}
	return c.deps.Clock.After(time.Until(deadline) - answerMargin)
}

// giveUpUnsent withdraws a workload whose caller doesn't wait any longer if it was not sent to the store, and
// returns the refusal; nil if it may have been sent.
func (c *Coordinator) giveUpUnsent(epoch int64, id string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.deps.Clock.Now()
	if c.conductor == nil || c.conductor.Epoch() != epoch || !c.conductor.WithdrawIfUnsent(now, id) {
		return nil
	}
	c.broadcast()
	return c.unavailable(now, outageDeadline, "workload %s was withdrawn before its deadline: the store does not answer", id)
}
