package coordinator

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Submit hands in a workload. It fails with a kind that says "not run" only when
// the workload was not accepted and never will be.
func (c *Coordinator) Submit(ctx context.Context, request messenger.WorkloadRequest) (messenger.WorkloadReply, error) {
	return c.ask(ctx, messenger.MethodSubmitWorkload, request, c.submitHere)
}

// Show returns the state of a workload.
func (c *Coordinator) Show(ctx context.Context, request messenger.WorkloadRequest) (messenger.WorkloadReply, error) {
	return c.ask(ctx, messenger.MethodShowWorkload, request, c.showHere)
}

// Cancel cancels a workload.
func (c *Coordinator) Cancel(ctx context.Context, request messenger.WorkloadRequest) (messenger.WorkloadReply, error) {
	return c.ask(ctx, messenger.MethodCancelWorkload, request, c.cancelHere)
}

// CountWaiting returns how many workloads of a queue have started no task.
func (c *Coordinator) CountWaiting(ctx context.Context, request messenger.WorkloadRequest) (messenger.WorkloadReply, error) {
	return c.ask(ctx, messenger.MethodCountWaiting, request, c.countHere)
}

type handler func(context.Context, messenger.WorkloadRequest) (messenger.WorkloadReply, error)

// ownerPatience is how long after the loss of the owner requests wait for another
// one: a takeover takes about a second. A request that finds an owner that can't take
// it waits as long.
const ownerPatience = 1300 * time.Millisecond

// ask asks the owner, wherever it is, and a later one while there is time. Every
// request may be repeated: one that may have been taken is answered as unknown as soon
// as there is no owner to ask again, so that the caller can ask another entry.
func (c *Coordinator) ask(ctx context.Context, method string, request messenger.WorkloadRequest, here handler) (messenger.WorkloadReply, error) {
	sent := false
	began := c.deps.Clock.Now()
	for {
		reply, err := c.askOnce(ctx, method, request, here)
		kind := apricotwinch.KindOf(err)
		switch kind {
		case apricotwinch.Unknown:
			sent = true
		case apricotwinch.NotOwner, apricotwinch.Unreachable:
		default:
			if err != nil && kind.Answer().NotRun() && kind != apricotwinch.NotFound {
				err = c.settleUnknown(sent, request.Id, err)
			}
			return reply, err
		}
		if c.ownerless() || !sent && c.deps.Clock.Since(began) > ownerPatience {
			return reply, c.settleUnknown(sent, request.Id, err)
		}
		metrics.GetOrRegisterCounter("ask.retried."+string(kind), c.deps.Registry).Inc(1)
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return reply, c.settleUnknown(sent, request.Id, err)
		case <-changed:
		case <-c.deps.Clock.After(ownerPoll):
		}
	}
}

// settleUnknown returns the error of a request that is given up: unknown when an owner
// may have taken it.
func (c *Coordinator) settleUnknown(sent bool, id string, err error) error {
	if !sent {
		return err
	}
	return apricotwinch.Errorf(apricotwinch.Unknown, "workload %s may have been taken: %w", id, err)
}

// ownerless reports whether there has been no owner to ask for so long that a request
// had better go elsewhere.
func (c *Coordinator) ownerless() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conductor == nil && c.elector.OwnerSilence(c.deps.Clock.Now()) > ownerPatience
}

func (c *Coordinator) askOnce(ctx context.Context, method string, request messenger.WorkloadRequest, here handler) (messenger.WorkloadReply, error) {
	c.mu.Lock()
	owned := c.conductor != nil
	owner := c.elector.Owner()
	c.mu.Unlock()
	if owned {
		return here(ctx, request)
	}
	if owner.Name == "" || owner.Name == c.self.Name {
		return messenger.WorkloadReply{}, apricotwinch.Errorf(apricotwinch.NotOwner, "no owner is known")
	}
	var reply messenger.WorkloadReply
	err := c.pool.Call(ctx, owner.Address, method, request, &reply)
	return reply, err
}

// await waits until the conductor's write with a number is durable. It fails with
// kind LogUnavailable when the workload was withdrawn before it was sent.
func (c *Coordinator) await(ctx context.Context, epoch, number int64, id string) error {
	for {
		c.mu.Lock()
		owner, changed := c.conductor, c.changed
		done := owner != nil && owner.Epoch() == epoch && owner.Durable() >= number
		lost := owner == nil || owner.Epoch() != epoch
		withdrawn := !lost && !owner.Known(id)
		c.mu.Unlock()
		switch {
		case withdrawn:
			return apricotwinch.Errorf(apricotwinch.LogUnavailable, "workload %s was withdrawn: the store does not answer", id)
		case done:
			return nil
		case lost:
			return apricotwinch.Errorf(apricotwinch.Unknown, "the ownership was lost before write %d was confirmed", number)
		}
		select {
		case <-ctx.Done():
			return apricotwinch.Errorf(apricotwinch.Unknown, "write %d: %w", number, ctx.Err())
		case <-changed:
		}
	}
}

// checkOwner fails unless this entry is the owner and may act; c.mu is held.
func (c *Coordinator) checkOwner(now time.Time) error {
	if c.conductor == nil || !c.elector.Authority(now) || c.draining || c.yielding {
		return apricotwinch.Errorf(apricotwinch.NotOwner, "this entry does not own the workloads")
	}
	return nil
}

// checkStore fails while the store does not answer; c.mu is held.
func (c *Coordinator) checkStore(now time.Time) error {
	if !c.refusedAt.IsZero() && now.Sub(c.refusedAt) < refusedFor {
		return apricotwinch.Errorf(apricotwinch.LogUnavailable, "the store refuses appends")
	}
	if !c.writeAt.IsZero() && now.Sub(c.writeAt) > failFast {
		return apricotwinch.Errorf(apricotwinch.LogUnavailable, "the store has not answered for %s", now.Sub(c.writeAt))
	}
	return nil
}

func (c *Coordinator) submitHere(ctx context.Context, request messenger.WorkloadRequest) (messenger.WorkloadReply, error) {
	number, epoch, err := c.submit(request)
	if err != nil {
		metrics.GetOrRegisterCounter(apricotwinch.KindOf(err).Answer().Counter(), c.deps.Registry).Inc(1)
		return messenger.WorkloadReply{}, err
	}
	return messenger.WorkloadReply{State: messenger.WorkloadQueued}, c.await(ctx, epoch, number, request.Id)
}

func (c *Coordinator) submit(request messenger.WorkloadRequest) (number, epoch int64, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.deps.Clock.Now()
	if err := c.checkOwner(now); err != nil {
		return 0, 0, err
	}
	// A workload that is known may be on its way to the store: it can't be called refused.
	if !c.conductor.Known(request.Id) {
		if err := c.checkStore(now); err != nil {
			c.deps.Logger.Info("workload refused", "workload", request.Id, "queue", request.Queue, "error", err)
			return 0, 0, err
		}
	}
	number, err = c.conductor.Submit(now, request)
	if err != nil {
		return 0, 0, err
	}
	c.kick()
	return number, c.conductor.Epoch(), nil
}

func (c *Coordinator) showHere(_ context.Context, request messenger.WorkloadRequest) (messenger.WorkloadReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkOwner(c.deps.Clock.Now()); err != nil {
		return messenger.WorkloadReply{}, err
	}
	state, err := c.conductor.Show(request.Id)
	return messenger.WorkloadReply{State: state}, err
}

func (c *Coordinator) cancelHere(ctx context.Context, request messenger.WorkloadRequest) (messenger.WorkloadReply, error) {
	c.mu.Lock()
	now := c.deps.Clock.Now()
	if err := c.checkOwner(now); err != nil {
		c.mu.Unlock()
		return messenger.WorkloadReply{}, err
	}
	number, err := c.conductor.Cancel(now, request.Id)
	if err != nil {
		c.mu.Unlock()
		return messenger.WorkloadReply{}, err
	}
	epoch := c.conductor.Epoch()
	c.advance(context.WithoutCancel(ctx), now, false)
	c.mu.Unlock()
	return messenger.WorkloadReply{State: messenger.WorkloadCanceled}, c.await(ctx, epoch, number, request.Id)
}

func (c *Coordinator) countHere(_ context.Context, request messenger.WorkloadRequest) (messenger.WorkloadReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.checkOwner(c.deps.Clock.Now()); err != nil {
		return messenger.WorkloadReply{}, err
	}
	return messenger.WorkloadReply{State: messenger.WorkloadQueued, Waiting: c.conductor.Waiting(request.Queue)}, nil
}
