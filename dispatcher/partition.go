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
	ownerTick      = 100 * time.Millisecond
	appendTimeout  = 10 * time.Second
	commandTimeout = 3 * time.Second
	// snapshotRecords and snapshotPeriod say when the owner writes a snapshot.
	snapshotRecords = 20_000
	snapshotPeriod  = 5 * time.Minute
)

// partition is the owner's side of one partition for the length of one epoch.
type partition struct {
	entry  *Entry
	number int
	epoch  int64
	clean  bool
	logger hclog.Logger

	mu        sync.Mutex
	book      *bookkeeper.Book
	scheduler *scheduler.Scheduler
	closed    bool
	folded    int
	snapAt    time.Time
	watches   watchKeeper
}

func newPartition(entry *Entry, number int, epoch int64, clean bool) *partition {
	return &partition{
		entry:   entry,
		number:  number,
		epoch:   epoch,
		clean:   clean,
		logger:  entry.logger.With("partition", number, "epoch", epoch),
		watches: watchKeeper{sent: make(map[string]time.Time)},
	}
}

// run owns the partition until ctx ends.
func (p *partition) run(ctx context.Context) {
	p.logger.Info("partition owned", "clean", p.clean)
	defer p.logger.Info("partition no longer owned")
	var group sync.WaitGroup
	group.Go(func() {
		follower := appender.NewFollower(p.entry.log, appender.JobsStream(p.number), p.entry.clock, p.entry.registry,
			func(view appender.View) { p.handle(ctx, view) })
		follower.Run(ctx, 0)
	})
	group.Go(func() { p.begin(ctx) })
	p.tickUntil(ctx)
	group.Wait()
}

// close bars every further lease and command of this epoch.
func (p *partition) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.scheduler = nil
}

// begin makes the epoch durable; every record of an older epoch is void after that.
func (p *partition) begin(ctx context.Context) {
	record := messenger.LedgerRecord{Type: messenger.RecordBegan, Epoch: int(p.epoch), Entry: p.entry.settings.Name}
	for ctx.Err() == nil {
		if err := p.append(ctx, record); err == nil {
			return
		}
		p.entry.count("partition.begin_retries")
		p.entry.sleepUntil(ctx, p.entry.clock.Now().Add(ownerTick))
	}
}

// handle folds what a read showed.
func (p *partition) handle(ctx context.Context, view appender.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.book == nil || view.Gap() {
		p.book = bookkeeper.Restore(p.number, view.Earliest())
		p.scheduler = nil
	}
	for _, record := range view.Records() {
		p.fold(ctx, record)
	}
	if view.Complete() && p.scheduler == nil && !p.closed && !p.book.Restoring() && p.book.Epoch() == p.epoch {
		p.startScheduler()
	}
}

func (p *partition) fold(ctx context.Context, record appender.Record) {
	var decoded messenger.LedgerRecord
	if err := json.Unmarshal(record.Data(), &decoded); err != nil {
		p.entry.count("partition.malformed_records")
		return
	}
	changes, err := p.book.Fold(record.Offset(), decoded)
	p.folded++
	if err != nil {
		p.entry.count("partition.void." + string(apricotwinch.KindOf(err)))
		return
	}
	if p.scheduler == nil {
		return
	}
	p.do(ctx, p.scheduler.Applied(p.entry.clock.Now(), changes))
	for _, change := range changes {
		if change.Job().Finished() {
			p.entry.members.forget(change.Job().ID())
		}
	}
	if p.scheduler.Superseded() {
		p.logger.Info("partition superseded", "by_epoch", p.book.Epoch())
		p.closed = true
		p.scheduler = nil
	}
}

func (p *partition) startScheduler() {
	now := p.entry.clock.Now()
	p.scheduler = scheduler.New(now, p.entry.settings.schedulerConfig(), p.entry.members.seams(), p.book, p.entry.settings.Name, p.epoch, p.clean)
	p.snapAt = now
	p.logger.Info("partition recovered", "jobs", p.book.Jobs(), "waiting", p.scheduler.Waiting(), "running", p.scheduler.Running())
}

func (p *partition) tickUntil(ctx context.Context) {
	ticker := p.entry.clock.NewTicker(ownerTick)
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

// tick lets the scheduler act while the claim is fresh.
func (p *partition) tick(ctx context.Context) {
	if !p.entry.ownership.fresh(p.number, p.epoch) {
		p.entry.count("partition.tick_without_fresh_claim")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scheduler == nil {
		return
	}
	now := p.entry.clock.Now()
	p.do(ctx, p.scheduler.Tick(now))
	p.reconcileWatches(ctx, now)
	if p.folded >= snapshotRecords || now.Sub(p.snapAt) >= snapshotPeriod {
		p.writeSnapshot(ctx, now)
	}
}

// writeSnapshot appends the state, so that the records before it may expire.
func (p *partition) writeSnapshot(ctx context.Context, now time.Time) {
	p.folded = 0
	p.snapAt = now
	parts := p.book.Snapshot()
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

// do carries out the scheduler's actions; p.mu is held.
func (p *partition) do(ctx context.Context, actions []scheduler.Action) {
	for _, action := range actions {
		switch {
		case action.Append != nil:
			go p.appendFor(ctx, *action.Append)
		case action.Assign != nil:
			go p.assign(ctx, action.Address, *action.Assign)
		case action.Stop != nil:
			go p.stop(ctx, action.Address, *action.Stop)
		case action.Throttle != nil:
			go p.throttle(ctx, action.Address, *action.Throttle)
		}
	}
}

func (p *partition) appendFor(ctx context.Context, record messenger.LedgerRecord) {
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
	p.do(ctx, p.scheduler.AssignAnswered(p.entry.clock.Now(), ref, reply, err))
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
func (p *partition) renew(ctx context.Context, renew messenger.Renew) (messenger.RenewReply, error) {
	if !p.entry.ownership.entitled(p.number, p.epoch) {
		return messenger.RenewReply{}, apricotwinch.Errorf(apricotwinch.NotOwner, "partition: %d has no claim in force", p.number)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scheduler == nil {
		return messenger.RenewReply{}, apricotwinch.Errorf(apricotwinch.NotOwner, "partition: %d is still being recovered", p.number)
	}
	reply, actions := p.scheduler.Renew(p.entry.clock.Now(), renew)
	p.do(ctx, actions)
	return reply, nil
}

// forward answers a caller's request on the partition's jobs.
func (p *partition) forward(request messenger.Forward) (messenger.ForwardReply, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scheduler == nil {
		return messenger.ForwardReply{}, apricotwinch.Errorf(apricotwinch.NotOwner, "partition: %d is still being recovered", p.number)
	}
	if request.Job == "" {
		return messenger.ForwardReply{Jobs: p.book.States(request.Team)}, nil
	}
	state, ok := p.book.State(request.Job)
	if !ok || state.Team != request.Team {
		return messenger.ForwardReply{}, apricotwinch.Errorf(apricotwinch.NotFound, "job: %s is not known", request.Job)
	}
	return messenger.ForwardReply{Jobs: []messenger.JobState{state}}, nil
}

// sizes returns the numbers of waiting and of assigned tasks.
func (p *partition) sizes() (waiting, running int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.scheduler == nil {
		return 0, 0
	}
	return p.scheduler.Waiting(), p.scheduler.Running()
}

// shortfall returns the number of wanted watch tasks that don't run.
func (p *partition) shortfall() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.book == nil {
		return 0
	}
	missing := 0
	for job := range p.book.All() {
		if job.Watch() && !job.Canceled() {
			missing += unassigned(job)
		}
	}
	return missing
}

// unassigned returns the number of tasks of a job that no host has.
func unassigned(job *bookkeeper.Job) int {
	n := 0
	for i := range job.Tasks() {
		if job.Task(i).Phase() != bookkeeper.Assigned {
			n++
		}
	}
	return n
}

// checkLog returns an error of kind LogUnavailable when the log has been failing
// for a while. The claims stream tells: the entry appends to it all the time.
func (e *Entry) checkLog() error {
	if e.claimsLog.Failing() {
		return apricotwinch.Errorf(apricotwinch.LogUnavailable, "not sent: the log is failing")
	}
	return nil
}

// appendRecord makes a record of a partition's stream durable.
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
	_, err = e.jobs[number].Append(ctx, record.Id, data)
	return err
}
