package agent

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/leaser"
	"apricotwinch/messenger"
)

// attempts drives the leaser: it carries out its actions at the worker and the
// owners, and feeds the answers back.
type attempts struct {
	mu            *sync.Mutex
	clock         clockwork.Clock
	registry      metrics.Registry
	leaser        *leaser.Leaser
	worker        *Worker
	workerTimeout time.Duration
	renew         func(ctx context.Context, renewal leaser.Renewal) (messenger.RenewReply, error)
	usage         *usage
	ctx           context.Context
	calls         sync.WaitGroup
	closed        bool
}

// assign answers an owner's command to start an attempt.
func (a *attempts) assign(_ context.Context, command messenger.Assign) (messenger.AssignReply, error) {
	a.mu.Lock()
	reply, actions := a.leaser.Assign(a.clock.Now(), command)
	a.mu.Unlock()
	if reply.Accepted {
		a.usage.know(a.clock.Now(), command)
	} else {
		a.count(apricotwinch.Kind(reply.Kind).Answer().Counter())
	}
	a.do(actions)
	return reply, nil
}

// stop answers an owner's command to stop an attempt.
func (a *attempts) stop(_ context.Context, command messenger.Stop) (messenger.StopReply, error) {
	a.mu.Lock()
	reply, actions, err := a.leaser.Stop(a.clock.Now(), command)
	a.mu.Unlock()
	if err != nil {
		a.count(apricotwinch.KindOf(err).Answer().Counter())
	}
	a.do(actions)
	return reply, err
}

// throttle answers an owner's command to change the share of its processors that
// an attempt keeps; it is answered when the worker took it.
func (a *attempts) throttle(ctx context.Context, command messenger.Throttle) (messenger.ThrottleReply, error) {
	a.mu.Lock()
	reply, err := a.leaser.Throttle(command)
	a.mu.Unlock()
	if err != nil || !reply.Found {
		if err != nil {
			a.count(apricotwinch.KindOf(err).Answer().Counter())
		}
		return reply, err
	}
	ctx, cancel := clockwork.WithTimeout(ctx, a.clock, a.workerTimeout)
	defer cancel()
	ref := messenger.AttemptRef{Job: command.Job, Task: command.Task, Attempt: command.Attempt}
	err = a.worker.Throttle(ctx, messenger.WorkerThrottle{Attempt: ref, Permille: command.Permille})
	a.countWorker("throttle", err)
	if apricotwinch.KindOf(err) == apricotwinch.NotFound {
		return messenger.ThrottleReply{}, nil
	}
	if err != nil {
		return messenger.ThrottleReply{}, err
	}
	a.usage.throttled(ref, command.Permille)
	return reply, nil
}

// announced takes an entry's answer to a heartbeat sent at sent.
func (a *attempts) announced(sent time.Time, reply messenger.AnnounceReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaser.Announced(sent, reply)
}

// step feeds an event to the leaser and carries out what it returns.
func (a *attempts) step(event func(now time.Time) leaser.Actions) {
	a.mu.Lock()
	actions := event(a.clock.Now())
	a.mu.Unlock()
	a.do(actions)
}

// do starts the calls of actions; each feeds its answer back.
func (a *attempts) do(actions leaser.Actions) {
	for _, start := range actions.Starts {
		a.call(func(ctx context.Context) { a.doStart(ctx, start) })
	}
	if len(actions.Leases) > 0 {
		a.call(func(ctx context.Context) { a.doLeases(ctx, actions.Leases) })
	}
	for _, stop := range actions.Stops {
		a.call(func(ctx context.Context) { a.doStop(ctx, stop) })
	}
	if len(actions.Forgets) > 0 {
		a.call(func(ctx context.Context) { a.doForget(ctx, actions.Forgets) })
	}
	if actions.List {
		a.call(a.doList)
	}
	for _, renewal := range actions.Renewals {
		a.spawn(func() { a.doRenew(renewal) })
	}
}

// call runs f beside the caller, with the timeout of calls to the worker.
func (a *attempts) call(f func(ctx context.Context)) {
	a.spawn(func() {
		ctx, cancel := clockwork.WithTimeout(a.ctx, a.clock, a.workerTimeout)
		defer cancel()
		f(ctx)
	})
}

// spawn runs f beside the caller unless a is closed.
func (a *attempts) spawn(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		a.calls.Go(f)
	}
}

// close waits for the calls under way and starts no more.
func (a *attempts) close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.calls.Wait()
}

func (a *attempts) doStart(ctx context.Context, start messenger.WorkerStart) {
	err := a.worker.Start(ctx, start)
	a.countWorker("start", err)
	a.step(func(now time.Time) leaser.Actions { return a.leaser.Started(now, leaser.IDOf(start.Attempt), err) })
}

func (a *attempts) doLeases(ctx context.Context, leases []leaser.Lease) {
	renew := messenger.WorkerRenew{Leases: make([]messenger.WorkerLease, 0, len(leases))}
	for _, lease := range leases {
		renew.Leases = append(renew.Leases, lease.Message())
	}
	err := a.worker.Renew(ctx, renew)
	a.countWorker("renew", err)
	a.step(func(now time.Time) leaser.Actions { return a.leaser.LeasesTold(now, leases, err) })
}

func (a *attempts) doStop(ctx context.Context, stop messenger.WorkerStop) {
	task, err := a.worker.Stop(ctx, stop)
	a.countWorker("stop", err)
	a.step(func(now time.Time) leaser.Actions {
		return a.leaser.Stopped(now, leaser.IDOf(stop.Attempt), task, err)
	})
}

func (a *attempts) doForget(ctx context.Context, refs []messenger.AttemptRef) {
	err := a.worker.Forget(ctx, messenger.WorkerForget{Attempts: refs})
	a.countWorker("forget", err)
	a.step(func(now time.Time) leaser.Actions { return a.leaser.Forgotten(now, refs, err) })
}

func (a *attempts) doList(ctx context.Context) {
	sent := a.clock.Now()
	tasks, err := a.worker.Tasks(ctx)
	a.countWorker("tasks", err)
	if err == nil {
		a.usage.observe(sent, tasks.Tasks)
	}
	a.step(func(now time.Time) leaser.Actions { return a.leaser.Listed(now, sent, tasks.Tasks, err) })
}

func (a *attempts) doRenew(renewal leaser.Renewal) {
	reply, err := a.renew(a.ctx, renewal)
	if err != nil {
		a.count("retried.renew." + string(apricotwinch.KindOf(err)))
	}
	a.step(func(now time.Time) leaser.Actions {
		actions, current := a.leaser.Renewed(now, renewal, reply, err)
		if !current {
			a.count(apricotwinch.StaleEpoch.Answer().Counter())
		}
		return actions
	})
}

func (a *attempts) count(name string) {
	metrics.GetOrRegisterCounter(name, a.registry).Inc(1)
}

func (a *attempts) countWorker(call string, err error) {
	if err != nil {
		a.count("worker." + call + "." + string(apricotwinch.KindOf(err)))
	}
}
