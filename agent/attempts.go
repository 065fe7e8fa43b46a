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

// attemptDriver performs the leaser's actions: it calls the worker and the owners, and passes the
// results back to the leaser as events.
type attemptDriver struct {
	mu            *sync.Mutex
	clock         clockwork.Clock
	registry      metrics.Registry
	leaser        *leaser.Leaser
	worker        *Worker
	workerTimeout time.Duration
	sendRenewal   func(ctx context.Context, renewal leaser.Renewal) (messenger.RenewReply, error)
	usage         *usageReporter
	ctx           context.Context
	calls         sync.WaitGroup
	closed        bool
}

// assign handles an owner's command to start an attempt.
func (a *attemptDriver) assign(_ context.Context, command messenger.Assign) (messenger.AssignReply, error) {
	a.mu.Lock()
	reply, actions := a.leaser.Assign(a.clock.Now(), command)
	a.mu.Unlock()
	if reply.Accepted {
		a.usage.recordAssignment(a.clock.Now(), command)
	} else {
		a.count(apricotwinch.Kind(reply.Kind).ErrorResponse().Counter())
	}
	a.execute(actions)
	return reply, nil
}

// stop handles an owner's command to stop an attempt.
func (a *attemptDriver) stop(_ context.Context, command messenger.Stop) (messenger.StopReply, error) {
	a.mu.Lock()
	reply, actions, err := a.leaser.Stop(a.clock.Now(), command)
	a.mu.Unlock()
	if err != nil {
		a.count(apricotwinch.KindOf(err).ErrorResponse().Counter())
	}
	a.execute(actions)
	return reply, err
}

// throttle handles an owner's command to change the share of its processors that an attempt may
// use. It replies once the worker has applied the change.
func (a *attemptDriver) throttle(ctx context.Context, command messenger.Throttle) (messenger.ThrottleReply, error) {
	a.mu.Lock()
	reply, err := a.leaser.Throttle(command)
	a.mu.Unlock()
	if err != nil || !reply.Found {
		if err != nil {
			a.count(apricotwinch.KindOf(err).ErrorResponse().Counter())
		}
		return reply, err
	}
	ctx, cancel := clockwork.WithTimeout(ctx, a.clock, a.workerTimeout)
	defer cancel()
	ref := messenger.AttemptRef{Job: command.Job, Task: command.Task, Attempt: command.Attempt}
	err = a.worker.Throttle(ctx, messenger.WorkerThrottle{Attempt: ref, Permille: command.Permille})
	a.countWorkerError("throttle", err)
	if apricotwinch.KindOf(err) == apricotwinch.NotFound {
		return messenger.ThrottleReply{}, nil
	}
	if err != nil {
		return messenger.ThrottleReply{}, err
	}
	a.usage.recordThrottle(ref, command.Permille)
	return reply, nil
}

// handleAnnounceReply passes an entry's reply to the leaser; sent is when the heartbeat was sent.
func (a *attemptDriver) handleAnnounceReply(sent time.Time, reply messenger.AnnounceReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaser.HandleAnnounceReply(sent, reply)
}

// applyEvent passes an event to the leaser and executes the actions that it returns.
func (a *attemptDriver) applyEvent(event func(now time.Time) leaser.Actions) {
	a.mu.Lock()
	actions := event(a.clock.Now())
	a.mu.Unlock()
	a.execute(actions)
}

// execute starts the calls for actions in the background; each passes its result to the leaser.
func (a *attemptDriver) execute(actions leaser.Actions) {
	for _, start := range actions.Starts {
		a.spawnWithTimeout(func(ctx context.Context) { a.startTask(ctx, start) })
	}
	if len(actions.Leases) > 0 {
		a.spawnWithTimeout(func(ctx context.Context) { a.renewLeases(ctx, actions.Leases) })
	}
	for _, stop := range actions.Stops {
		a.spawnWithTimeout(func(ctx context.Context) { a.stopTask(ctx, stop) })
	}
	if len(actions.Forgets) > 0 {
		a.spawnWithTimeout(func(ctx context.Context) { a.forgetTasks(ctx, actions.Forgets) })
	}
	if actions.List {
		a.spawnWithTimeout(a.listTasks)
	}
	for _, renewal := range actions.Renewals {
		a.spawn(func() { a.renewAtOwner(renewal) })
	}
}

// spawnWithTimeout runs f in the background with the timeout of calls to the worker.
func (a *attemptDriver) spawnWithTimeout(f func(ctx context.Context)) {
	a.spawn(func() {
		ctx, cancel := clockwork.WithTimeout(a.ctx, a.clock, a.workerTimeout)
		defer cancel()
		f(ctx)
	})
}

// spawn runs f in the background unless a is closed.
func (a *attemptDriver) spawn(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		a.calls.Go(f)
	}
}

// close prevents further calls and waits for those in flight.
func (a *attemptDriver) close() {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	a.calls.Wait()
}

func (a *attemptDriver) startTask(ctx context.Context, start messenger.WorkerStart) {
	err := a.worker.Start(ctx, start)
	a.countWorkerError("start", err)
	a.applyEvent(func(now time.Time) leaser.Actions { return a.leaser.Started(now, leaser.IDOf(start.Attempt), err) })
}

func (a *attemptDriver) renewLeases(ctx context.Context, leases []leaser.Lease) {
	message := messenger.WorkerRenew{Leases: make([]messenger.WorkerLease, 0, len(leases))}
	for _, lease := range leases {
		message.Leases = append(message.Leases, lease.Message())
	}
	err := a.worker.Renew(ctx, message)
	a.countWorkerError("renew", err)
	a.applyEvent(func(now time.Time) leaser.Actions { return a.leaser.LeasesRenewed(now, leases, err) })
}

func (a *attemptDriver) stopTask(ctx context.Context, stop messenger.WorkerStop) {
	task, err := a.worker.Stop(ctx, stop)
	a.countWorkerError("stop", err)
	a.applyEvent(func(now time.Time) leaser.Actions {
		return a.leaser.Stopped(now, leaser.IDOf(stop.Attempt), task, err)
	})
}

func (a *attemptDriver) forgetTasks(ctx context.Context, refs []messenger.AttemptRef) {
	err := a.worker.Forget(ctx, messenger.WorkerForget{Attempts: refs})
	a.countWorkerError("forget", err)
	a.applyEvent(func(now time.Time) leaser.Actions { return a.leaser.Forgotten(now, refs, err) })
}

func (a *attemptDriver) listTasks(ctx context.Context) {
	requestedAt := a.clock.Now()
	tasks, err := a.worker.Tasks(ctx)
	a.countWorkerError("tasks", err)
	if err == nil {
		a.usage.recordTasks(requestedAt, tasks.Tasks)
	}
	a.applyEvent(func(now time.Time) leaser.Actions { return a.leaser.Listed(now, requestedAt, tasks.Tasks, err) })
}

func (a *attemptDriver) renewAtOwner(renewal leaser.Renewal) {
	reply, err := a.sendRenewal(a.ctx, renewal)
	if err != nil {
		a.count("retried.renew." + string(apricotwinch.KindOf(err)))
	}
	a.applyEvent(func(now time.Time) leaser.Actions {
		actions, current := a.leaser.Renewed(now, renewal, reply, err)
		if !current {
			a.count(apricotwinch.StaleEpoch.ErrorResponse().Counter())
		}
		return actions
	})
}

func (a *attemptDriver) count(name string) {
	metrics.GetOrRegisterCounter(name, a.registry).Inc(1)
}

func (a *attemptDriver) countWorkerError(call string, err error) {
	if err != nil {
		a.count("worker." + call + "." + string(apricotwinch.KindOf(err)))
	}
}
