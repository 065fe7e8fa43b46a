package coordinator

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Submit submits a workload and returns when it is durable. Submitting the same id again is
// safe. The kind of an error says "not run" only when the workload was not accepted and never
// will be; a workload that may have been accepted fails with kind Unknown.
func (c *Coordinator) Submit(ctx context.Context, request messenger.WorkloadRequest) (messenger.WorkloadReply, error) {
	return c.askOwner(ctx, messenger.MethodSubmitWorkload, request, c.submitLocally)
}

// Show returns the state of a workload. It fails with kind NotFound if the workload is not
// known.
func (c *Coordinator) Show(ctx context.Context, request messenger.WorkloadRequest) (messenger.WorkloadReply, error) {
	return c.askOwner(ctx, messenger.MethodShowWorkload, request, c.showLocally)
}

// Cancel cancels a workload and returns when that is durable. It fails with kind NotFound if
// the workload is not known.
func (c *Coordinator) Cancel(ctx context.Context, request messenger.WorkloadRequest) (messenger.WorkloadReply, error) {
	return c.askOwner(ctx, messenger.MethodCancelWorkload, request, c.cancelLocally)
}

// CountWaiting returns how many workloads of a queue have started no task.
func (c *Coordinator) CountWaiting(ctx context.Context, request messenger.WorkloadRequest) (messenger.WorkloadReply, error) {
	return c.askOwner(ctx, messenger.MethodCountWaiting, request, c.countLocally)
}

// handler handles a request at the owner.
type handler func(context.Context, messenger.WorkloadRequest) (messenger.WorkloadReply, error)

// maxOwnerWait is how long after the loss of the owner requests wait for a new one: a failover
// takes about a second. A request whose owner can't accept it is retried for as long.
const maxOwnerWait = 1300 * time.Millisecond

// askOwner sends a request to the owner, which may be this entry, and retries it, also at a
// new owner, until it is answered or given up. Every request is idempotent. A request that may
// have been accepted fails with kind Unknown as soon as there is no owner to send it to again,
// so that the caller can try another entry.
func (c *Coordinator) askOwner(ctx context.Context, method string, request messenger.WorkloadRequest, local handler) (messenger.WorkloadReply, error) {
	maybeAccepted := false
	began := c.deps.Clock.Now()
	for retries := 0; ; retries++ {
		reply, err := c.askOwnerOnce(ctx, method, request, local)
		kind := apricotwinch.KindOf(err)
		switch kind {
		case apricotwinch.Unknown:
			maybeAccepted = true
		case apricotwinch.NotOwner, apricotwinch.Unreachable:
		default:
			if err != nil && kind.ErrorResponse().NotRun() && kind != apricotwinch.NotFound {
				err = c.giveUpError(maybeAccepted, request.Id, err)
			}
			return reply, err
		}
		if c.ownerLongAbsent() || !maybeAccepted && c.deps.Clock.Since(began) > maxOwnerWait {
			return reply, c.giveUpError(maybeAccepted, request.Id, err)
		}
		metrics.GetOrRegisterCounter("ask.retried."+string(kind), c.deps.Registry).Inc(1)
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return reply, c.giveUpError(maybeAccepted, request.Id, err)
		case <-changed:
		case <-c.deps.Clock.After(apricotwinch.ExponentialBackoff(ownerRetryDelay, maxOwnerRetryDelay, retries)):
		}
	}
}

// giveUpError returns the error of a request that is no longer retried: err, or an error of
// kind Unknown if an owner may have accepted the request.
func (c *Coordinator) giveUpError(maybeAccepted bool, id string, err error) error {
	if !maybeAccepted {
		return err
	}
	return apricotwinch.Errorf(apricotwinch.Unknown, "workload %s may have been accepted: %w", id, err)
}

// ownerLongAbsent reports whether this entry has known no owner for so long (maxOwnerWait)
// that a caller should try another entry.
func (c *Coordinator) ownerLongAbsent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conductor == nil && c.elector.OwnerSilence(c.deps.Clock.Now()) > maxOwnerWait
}

// askOwnerOnce handles a request with local if this entry is the owner, and sends it to the
// owner otherwise. It fails with kind NotOwner if no owner is known.
func (c *Coordinator) askOwnerOnce(ctx context.Context, method string, request messenger.WorkloadRequest, local handler) (messenger.WorkloadReply, error) {
	c.mu.Lock()
	owned := c.conductor != nil
	owner := c.elector.Owner()
	c.mu.Unlock()
	if owned {
		return local(ctx, request)
	}
	if owner.Name == "" || owner.Name == c.self.Name {
		return messenger.WorkloadReply{}, apricotwinch.Errorf(apricotwinch.NotOwner, "no owner is known")
	}
	var reply messenger.WorkloadReply
	err := c.pool.Call(ctx, owner.Address, method, withTimeLeft(ctx, method, request), &reply)
	if err == nil {
		c.mu.Lock()
		c.elector.RecordOwnerAnswer(c.deps.Clock.Now(), owner)
		c.mu.Unlock()
	}
	return reply, err
}

// awaitDurable waits until the conductor's write with the given number is durable. It fails
// with kind LogUnavailable if the workload id was withdrawn before it was sent to the store,
// and with kind Unknown if the ownership or ctx ended first.
func (c *Coordinator) awaitDurable(ctx context.Context, epoch, number int64, id string) error {
	giveUp := c.giveUpTime(ctx)
	for {
		c.mu.Lock()
		owner, changed := c.conductor, c.changed
		// Another request may have withdrawn the workload and submitted it again in a later write.
		done := owner != nil && owner.Epoch() == epoch && owner.Durable() >= number && owner.IsDurable(id)
		lost := owner == nil || owner.Epoch() != epoch
		var withdrawn error
		if !lost && !owner.IsKnown(id) {
			withdrawn = c.unavailable(c.deps.Clock.Now(), outageWithdrawn, "workload %s was withdrawn: the store does not answer", id)
		}
		c.mu.Unlock()
		switch {
		case withdrawn != nil:
			return withdrawn
		case done:
			return nil
		case lost:
			return apricotwinch.Errorf(apricotwinch.Unknown, "the ownership was lost before write %d was confirmed", number)
		}
		select {
		case <-ctx.Done():
			return apricotwinch.Errorf(apricotwinch.Unknown, "waiting until write %d is durable: %w", number, ctx.Err())
		case <-giveUp:
			if err := c.giveUpUnsent(epoch, id); err != nil {
				return err
			}
			giveUp = nil
		case <-changed:
		}
	}
}

// checkOwner fails with kind NotOwner unless this entry is the owner, may act as such and is
// not about to step down; c.mu is held.
func (c *Coordinator) checkOwner(now time.Time) error {
	if c.conductor == nil || !c.elector.HasAuthority(now) || c.draining || c.yielding {
		return apricotwinch.Errorf(apricotwinch.NotOwner, "this entry does not own the workloads")
	}
	return nil
}

// checkStore fails with kind LogUnavailable while the store refuses appends or does not answer
// them; c.mu is held.
func (c *Coordinator) checkStore(now time.Time) error {
	switch {
	case c.storeRefuses(now):
		return c.unavailable(now, outageRefuses, "the store refuses appends")
	case c.storeSilent(now):
		return c.unavailable(now, outageSilent, "the store has not answered for %s", now.Sub(c.appendStartedAt))
	}
	return nil
}

// storeRefuses reports whether the store has just refused an append; c.mu is held.
func (c *Coordinator) storeRefuses(now time.Time) bool {
	return !c.appendRefusedAt.IsZero() && now.Sub(c.appendRefusedAt) < refusalBackoff
}

// storeSilent reports whether the store has not answered the pending append for too long; c.mu is held.
func (c *Coordinator) storeSilent(now time.Time) bool {
	return !c.appendStartedAt.IsZero() && now.Sub(c.appendStartedAt) > failFastAfter
}

func (c *Coordinator) submitLocally(ctx context.Context, request messenger.WorkloadRequest) (messenger.WorkloadReply, error) {
	number, epoch, err := c.submit(ctx, request)
	if err != nil {
		metrics.GetOrRegisterCounter(apricotwinch.KindOf(err).ErrorResponse().Counter(), c.deps.Registry).Inc(1)
		return messenger.WorkloadReply{}, err
	}
	return messenger.WorkloadReply{State: messenger.WorkloadQueued}, c.awaitDurable(ctx, epoch, number, request.Id)
}

func (c *Coordinator) submit(ctx context.Context, request messenger.WorkloadRequest) (number, epoch int64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.deps.Clock.Now()
	if err := c.checkOwner(now); err != nil {
		return 0, 0, err
	}
	// An append that holds a workload that is already known may be pending, so the workload
	// can't be reported as refused.
	if !c.conductor.IsKnown(request.Id) {
		err := c.checkStore(now)
		if err == nil {
			err = c.checkDeadline(ctx, now)
		}
		if err != nil {
			c.logUnavailable(now, request, err)
			return 0, 0, err
		}
	}
	number, err = c.conductor.Submit(now, request)
	if err != nil {
		return 0, 0, err
	}
	if c.appendStartedAt.IsZero() {
		// The append that accepts the workload also holds where its tasks may run. After an append
		// that is pending, they are placed before the next one anyway.
		c.advance(context.WithoutCancel(ctx), now, false)
	}
	c.wakeWriter()
	return number, c.conductor.Epoch(), nil
}

func (c *Coordinator) showLocally(ctx context.Context, request messenger.WorkloadRequest) (messenger.WorkloadReply, error) {
	var reply messenger.WorkloadReply
	err := c.askConductor(ctx, func(time.Time) error {
		state, err := c.conductor.WorkloadState(request.Id)
		reply.State = state
		return err
	})
	return reply, err
}

func (c *Coordinator) cancelLocally(ctx context.Context, request messenger.WorkloadRequest) (messenger.WorkloadReply, error) {
	var number, epoch int64
	err := c.askConductor(ctx, func(now time.Time) error {
		var err error
		if number, err = c.conductor.Cancel(now, request.Id); err != nil {
			return err
		}
		epoch = c.conductor.Epoch()
		c.advance(context.WithoutCancel(ctx), now, false)
		return nil
	})
	if err != nil {
		return messenger.WorkloadReply{}, err
	}
	return messenger.WorkloadReply{State: messenger.WorkloadCanceled}, c.awaitDurable(ctx, epoch, number, request.Id)
}

// askConductor calls ask while this entry is the owner, and again until its error is not NotFound,
// or it is proven that no successor existed when the request came: a successor may have accepted the
// workload. c.mu is held during the call.
func (c *Coordinator) askConductor(ctx context.Context, ask func(now time.Time) error) error {
	began := c.deps.Clock.Now()
	for {
		changed, err := c.askConductorOnce(began, ask)
		if changed == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return apricotwinch.Errorf(apricotwinch.Unknown, "waiting for a proof of the ownership: %w", ctx.Err())
		case <-changed:
		case <-c.deps.Clock.After(ownerRetryDelay):
		}
	}
}

// askConductorOnce calls ask if this entry is the owner. If its answer needs a proof of the ownership
// first, it requests one and returns a channel that is closed when something changes.
func (c *Coordinator) askConductorOnce(began time.Time, ask func(now time.Time) error) (<-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.deps.Clock.Now()
	if err := c.checkOwner(now); err != nil {
		return nil, err
	}
	err := ask(now)
	if apricotwinch.KindOf(err) != apricotwinch.NotFound || c.elector.ProvenSince(now, began) {
		return nil, err
	}
	if err := c.checkStore(now); err != nil {
		return nil, err
	}
	c.requestProof()
	return c.changed, nil
}

func (c *Coordinator) countLocally(_ context.Context, request messenger.WorkloadRequest) (messenger.WorkloadReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkOwner(c.deps.Clock.Now()); err != nil {
		return messenger.WorkloadReply{}, err
	}
	return messenger.WorkloadReply{State: messenger.WorkloadQueued, Waiting: c.conductor.CountWaiting(request.Queue)}, nil
}
