package dispatcher

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/bookkeeper"
	"apricotwinch/messenger"
	"apricotwinch/scheduler"
)

// Periods and timeouts of the owner of a partition.
const (
	ownerPeriod    = 100 * time.Millisecond
	appendTimeout  = 10 * time.Second
	commandTimeout = 3 * time.Second
	// The owner writes a snapshot after snapshotRecords records or snapshotPeriod,
	// whichever comes first.
	snapshotRecords = 20_000
	snapshotPeriod  = 5 * time.Minute
)

// partition is an entry's ownership of one partition during one epoch.
type partition struct {
	entry  *Entry
	number int
	epoch  int64
	// clean is whether the previous owner released the partition.
	clean  bool
	logger hclog.Logger

	mu        sync.Mutex
	state     *bookkeeper.State
	scheduler *scheduler.Scheduler
	closed    bool
	// sinceSnapshot counts the records applied since the last snapshot.
	sinceSnapshot int
	snapshotAt    time.Time
	watches       watchState
}

func newPartition(entry *Entry, number int, epoch int64, clean bool) *partition {
	return &partition{
		entry:   entry,
		number:  number,
		epoch:   epoch,
		clean:   clean,
		logger:  entry.logger.With("partition", number, "epoch", epoch),
		watches: watchState{appendedAt: make(map[string]time.Time)},
	}
}

// run owns the partition until ctx ends.
func (p *partition) run(ctx context.Context) {
	p.logger.Info("partition owned", "clean", p.clean)
	defer p.logger.Info("partition no longer owned")
	var group sync.WaitGroup
	group.Go(func() {
		follower := appender.NewFollower(p.entry.log, appender.JobsStream(p.number), p.entry.clock, p.entry.registry,
			func(view appender.View) { p.applyView(ctx, view) })
		follower.Run(ctx, 0)
	})
	group.Go(func() { p.beginEpoch(ctx) })
	p.runTicks(ctx)
	group.Wait()
}

// close prevents every further lease and command of this epoch.
func (p *partition) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.scheduler = nil
}

// beginEpoch makes the start of the epoch durable. Every record of an older epoch
// after that is rejected.
func (p *partition) beginEpoch(ctx context.Context) {
	record := messenger.LedgerRecord{Type: messenger.RecordBegan, Epoch: int(p.epoch), Entry: p.entry.settings.Name}
	for ctx.Err() == nil {
		if err := p.append(ctx, record); err == nil {
			return
		}
		p.entry.count("partition.begin_retries")
		p.entry.sleepUntil(ctx, p.entry.clock.Now().Add(ownerPeriod))
	}
}

// applyView applies the records of a read. It starts the scheduler once the stream was
// replayed to its end and the epoch has begun.
func (p *partition) applyView(ctx context.Context, view appender.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil || view.Gap() {
		p.state = bookkeeper.Restore(p.number, view.Earliest())
		p.scheduler = nil
	}
	for _, record := range view.Records() {
		p.applyRecord(ctx, record)
	}
	if view.Complete() && p.scheduler == nil && !p.closed && !p.state.Restoring() && p.state.Epoch() == p.epoch {
		p.startScheduler()
	}
}

func (p *partition) applyRecord(ctx context.Context, record appender.Record) {
	var decoded messenger.LedgerRecord
	if err := json.Unmarshal(record.Data(), &decoded); err != nil {
		p.entry.count("partition.malformed_records")
		return
	}
	changes, err := p.state.Apply(record.Offset(), decoded)
	p.sinceSnapshot++
	if err != nil {
		p.entry.count("partition.void." + string(apricotwinch.KindOf(err)))
		return
	}
	if p.scheduler == nil {
		return
	}
	p.execute(ctx, p.scheduler.Apply(p.entry.clock.Now(), changes))
	for _, change := range changes {
		if change.Job().Finished() {
			p.entry.fleet.forgetJob(change.Job().ID())
		}
	}
	if p.scheduler.Superseded() {
		p.logger.Info("partition superseded", "by_epoch", p.state.Epoch())
		p.closed = true
		p.scheduler = nil
	}
}

func (p *partition) startScheduler() {
	now := p.entry.clock.Now()
	p.scheduler = scheduler.New(now, p.entry.settings.schedulerConfig(), p.entry.fleet.schedulerDependencies(), p.state, p.entry.settings.Name, p.epoch, p.clean)
	p.snapshotAt = now
	p.logger.Info("partition recovered", "jobs", p.state.Jobs(), "waiting", p.scheduler.Waiting(), "running", p.scheduler.Running())
}

func (p *partition) runTicks(ctx context.Context) {
	ticker := p.entry.clock.NewTicker(ownerPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			p.tick(ctx)
		}
	}
}

// tick runs what is due for the scheduler, the watch services and snapshots, if the
// claim is fresh.
func (p *partition) tick(ctx context.Context) {
	if !p.entry.ownership.claimFresh(p.number, p.epoch) {
		p.entry.count("partition.tick_without_fresh_claim")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scheduler == nil {
		return
	}
	now := p.entry.clock.Now()
	p.execute(ctx, p.scheduler.Tick(now))
	p.reconcileWatches(ctx, now)
	if p.sinceSnapshot >= snapshotRecords || now.Sub(p.snapshotAt) >= snapshotPeriod {
		p.writeSnapshot(ctx, now)
	}
}

// writeSnapshot appends a snapshot of the state, so that the records before it may
// expire. p.mu is held.
func (p *partition) writeSnapshot(ctx context.Context, now time.Time) {
	p.sinceSnapshot = 0
	p.snapshotAt = now
	parts := p.state.Snapshot()
	go func() {
		for i := range parts {
			record := messenger.LedgerRecord{Type: messenger.RecordSnapshot, Epoch: int(p.epoch), Snapshot: &parts[i]}
			if err := p.append(ctx, record); err != nil {
				p.entry.count("partition.snapshot_failures")
				return
			}
		}
		p.entry.count("partition.snapshots")
	}()
}

// execute carries out the scheduler's actions. p.mu is held.
func (p *partition) execute(ctx context.Context, actions []scheduler.Action) {
	for _, action := range actions {
		switch {
		case action.Append != nil:
			go p.appendForScheduler(ctx, *action.Append)
		case action.Assign != nil:
			go p.assign(ctx, action.Address, *action.Assign)
		case action.Stop != nil:
			go p.stop(ctx, action.Address, *action.Stop)
		case action.Throttle != nil:
			go p.throttle(ctx, action.Address, *action.Throttle)
		}
	}
}

// appendForScheduler appends a record and notifies the scheduler if that fails.
func (p *partition) appendForScheduler(ctx context.Context, record messenger.LedgerRecord) {
	if err := p.append(ctx, record); err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.scheduler != nil {
			p.scheduler.AppendFailed(p.entry.clock.Now(), record)
		}
	}
}

// append makes a record of the partition durable.
func (p *partition) append(ctx context.Context, record messenger.LedgerRecord) error {
	return p.entry.appendRecord(ctx, p.number, record)
}

func (p *partition) assign(ctx context.Context, address string, command messenger.Assign) {
	callCtx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var reply messenger.AssignReply
	err := p.entry.pool.Call(callCtx, address, messenger.MethodAssign, command, &reply)
	if err != nil {
		p.entry.count("assign.error." + string(apricotwinch.KindOf(err)))
	} else if !reply.Accepted {
		p.entry.count("assign.refused." + reply.Kind)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scheduler == nil {
		return
	}
	ref := messenger.AttemptRef{Job: command.Job, Task: command.Task, Attempt: command.Attempt}
	p.execute(ctx, p.scheduler.AssignAnswered(p.entry.clock.Now(), ref, reply, err))
}

func (p *partition) stop(ctx context.Context, address string, command messenger.Stop) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var reply messenger.StopReply
	if err := p.entry.pool.Call(ctx, address, messenger.MethodStop, command, &reply); err != nil {
		p.entry.count("stop.error." + string(apricotwinch.KindOf(err)))
	}
}

// renew answers an agent's request for leases.
func (p *partition) renew(ctx context.Context, renew messenger.RenewRequest) (messenger.RenewReply, error) {
	if !p.entry.ownership.mayGrantLeases(p.number, p.epoch) {
		return messenger.RenewReply{}, apricotwinch.Errorf(apricotwinch.NotOwner, "partition: %d has no valid claim", p.number)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scheduler == nil {
		return messenger.RenewReply{}, apricotwinch.Errorf(apricotwinch.NotOwner, "partition: %d is still being recovered", p.number)
	}
	reply, actions := p.scheduler.Renew(p.entry.clock.Now(), renew)
	p.execute(ctx, actions)
	return reply, nil
}

// forward answers a request about the partition's jobs.
func (p *partition) forward(request messenger.Forward) (messenger.ForwardReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scheduler == nil {
		return messenger.ForwardReply{}, apricotwinch.Errorf(apricotwinch.NotOwner, "partition: %d is still being recovered", p.number)
	}
	if request.Job == "" {
		return messenger.ForwardReply{Jobs: p.state.States(request.Team)}, nil
	}
	state, ok := p.state.State(request.Job)
	if !ok || state.Team != request.Team {
		return messenger.ForwardReply{}, apricotwinch.Errorf(apricotwinch.NotFound, "job: %s is not known", request.Job)
	}
	return messenger.ForwardReply{Jobs: []messenger.JobState{state}}, nil
}

// taskCounts returns the numbers of waiting and of assigned tasks.
func (p *partition) taskCounts() (waiting, running int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scheduler == nil {
		return 0, 0
	}
	return p.scheduler.Waiting(), p.scheduler.Running()
}

// missingWatchTasks returns the number of watch tasks that should run but have no
// host.
func (p *partition) missingWatchTasks() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		return 0
	}
	missing := 0
	for job := range p.state.All() {
		if job.Watch() && !job.Canceled() {
			missing += unassignedTasks(job)
		}
	}
	return missing
}

// unassignedTasks returns the number of tasks of a job that no host has.
func unassignedTasks(job *bookkeeper.Job) int {
	n := 0
	for i := range job.Tasks() {
		if job.Task(i).Phase() != bookkeeper.Assigned {
			n++
		}
	}
	return n
}

// checkLog returns an error of kind LogUnavailable when the log has been failing for a
// while. It checks the claims stream because the entry appends to that one all the
// time.
func (e *Entry) checkLog() error {
	if e.claimsLog.Failing() {
		return apricotwinch.Errorf(apricotwinch.LogUnavailable, "not sent: the log is failing")
	}
	return nil
}

// appendRecord appends a record to a partition's jobs stream and returns when it is
// durable. It fills in the id and the time.
func (e *Entry) appendRecord(ctx context.Context, number int, record messenger.LedgerRecord) error {
	if err := e.checkLog(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if record.Id == "" {
		record.Id = uuid.NewString()
	}
	if record.UnixMillis == 0 {
		record.UnixMillis = int(e.clock.Now().UnixMilli())
	}
	data, err := json.Marshal(record)
	if err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "record: %w", err)
	}
	_, err = e.jobsLogs[number].Append(ctx, record.Id, data)
	return err
}
