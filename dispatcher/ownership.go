package dispatcher

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/claimer"
	"apricotwinch/messenger"
)

// claimPeriod is the interval at which an entry checks its claims.
const claimPeriod = 200 * time.Millisecond

// ownership drives the claimer and runs the partitions that the entry owns.
type ownership struct {
	entry *Entry

	mu      sync.Mutex
	claimer *claimer.Claimer
	owned   map[int]*ownedPartition
	// lastFreshAt is when the entry's claims were last known to be fresh.
	lastFreshAt time.Time
	running     sync.WaitGroup
}

// ownedPartition is a partition that the entry runs.
type ownedPartition struct {
	partition *partition
	cancel    context.CancelFunc
	done      chan struct{}
}

func newOwnership(entry *Entry) *ownership {
	return &ownership{
		entry:   entry,
		claimer: claimer.New(entry.self(), entry.settings.Region, entry.settings.Partitions, entry.timing),
		owned:   make(map[int]*ownedPartition),
	}
}

// run follows the claims stream and sends claim heartbeats until ctx ends, then stops
// all partitions.
func (o *ownership) run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() {
		follower := appender.NewFollower(o.entry.log, appender.StreamClaims, o.entry.clock, o.entry.registry,
			func(view appender.View) { o.applyView(ctx, view) })
		follower.Run(ctx, 0)
	})
	ticker := o.entry.clock.NewTicker(claimPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.Chan():
			o.tick(ctx)
		}
	}
	group.Wait()
	o.stopAll()
	o.running.Wait()
}

func (o *ownership) applyView(ctx context.Context, view appender.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if view.Gap() {
		o.execute(ctx, o.claimer.HandleGap(view.Earliest()))
	}
	for _, record := range view.Records() {
		var claim messenger.ClaimRecord
		if err := json.Unmarshal(record.Data(), &claim); err != nil {
			o.entry.count("claims.malformed_records")
			o.claimer.SkipRecord(record.Offset())
			continue
		}
		o.execute(ctx, o.claimer.Apply(o.entry.clock.Now(), record.Offset(), claim))
	}
	if view.Complete() {
		o.claimer.CaughtUp(view.AsOf())
	}
}

func (o *ownership) tick(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.entry.clock.Now()
	for _, number := range o.claimer.Owned() {
		if _, fresh := o.claimer.Holds(now, number); fresh {
			o.lastFreshAt = now
		}
	}
	o.execute(ctx, o.claimer.Tick(now))
}

// execute carries out the claimer's actions in order. o.mu is held.
func (o *ownership) execute(ctx context.Context, actions []claimer.Action) {
	for _, action := range actions {
		switch action.Type() {
		case claimer.Append:
			go o.appendClaim(ctx, action.Record())
		case claimer.StartOwning:
			o.startPartition(ctx, action)
		case claimer.StopOwning:
			o.stopPartition(action.Partition())
		}
	}
}

func (o *ownership) appendClaim(ctx context.Context, record messenger.ClaimRecord) {
	data, err := json.Marshal(record)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, o.entry.settings.claimLease())
	defer cancel()
	if _, err := o.entry.claimsLog.Append(ctx, record.Id, data); err != nil {
		o.entry.count("claims.append." + string(apricotwinch.KindOf(err)))
	}
}

func (o *ownership) startPartition(ctx context.Context, action claimer.Action) {
	o.stopPartition(action.Partition())
	p := newPartition(o.entry, action.Partition(), action.Epoch(), action.PreviousReleased())
	runCtx, cancel := context.WithCancel(ctx)
	held := &ownedPartition{partition: p, cancel: cancel, done: make(chan struct{})}
	o.owned[action.Partition()] = held
	o.lastFreshAt = o.entry.clock.Now()
	o.running.Go(func() {
		defer close(held.done)
		p.run(runCtx)
	})
}

// stopPartition stops a partition at once: it grants no lease after this returns. o.mu
// is held.
func (o *ownership) stopPartition(number int) {
	held := o.owned[number]
	if held == nil {
		return
	}
	delete(o.owned, number)
	held.cancel()
	held.partition.close()
}

func (o *ownership) stopAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for number := range o.entry.settings.Partitions {
		o.stopPartition(number)
	}
}

// releaseAll releases every partition and waits until the claims stream shows it, or
// ctx ends.
func (o *ownership) releaseAll(ctx context.Context) {
	o.mu.Lock()
	actions := o.claimer.Leave(o.entry.clock.Now())
	o.execute(context.WithoutCancel(ctx), actions)
	o.mu.Unlock()
	ticker := o.entry.clock.NewTicker(claimPeriod)
	defer ticker.Stop()
	for {
		o.mu.Lock()
		left := o.claimer.Left()
		o.mu.Unlock()
		if left {
			return
		}
		select {
		case <-ctx.Done():
			o.entry.count("claims.leave_timeouts")
			return
		case <-ticker.Chan():
		}
	}
}

// partition returns the partition called number if the entry runs it.
func (o *ownership) partition(number int) *partition {
	o.mu.Lock()
	defer o.mu.Unlock()
	if held := o.owned[number]; held != nil {
		return held.partition
	}
	return nil
}

// partitions returns the partitions that the entry runs, in order.
func (o *ownership) partitions() []*partition {
	o.mu.Lock()
	defer o.mu.Unlock()
	var running []*partition
	for number := range o.entry.settings.Partitions {
		if held := o.owned[number]; held != nil {
			running = append(running, held.partition)
		}
	}
	return running
}

// claimFresh reports whether the entry has a fresh claim for the epoch, so that it may
// append records and send commands.
func (o *ownership) claimFresh(number int, epoch int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	held, fresh := o.claimer.Holds(o.entry.clock.Now(), number)
	return fresh && held == epoch
}

// mayGrantLeases reports whether the entry may grant leases for the epoch: while its
// claim is fresh and, during an outage of the log, for the outage allowance after
// that.
func (o *ownership) mayGrantLeases(number int, epoch int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.entry.clock.Now()
	held, fresh := o.claimer.Holds(now, number)
	return held == epoch && (fresh || now.Sub(o.lastFreshAt) < o.entry.settings.outageAllowance())
}

// owner returns the owner of a partition as the claims stream shows it.
func (o *ownership) owner(number int) (messenger.PartitionOwner, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.claimer.Owner(number)
}

// directory returns the live entries and the owners of the partitions.
func (o *ownership) directory() ([]messenger.EntryAddress, []messenger.PartitionOwner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.claimer.LiveEntries(o.entry.clock.Now()), o.claimer.Owners()
}

// isFirstLive reports whether the entry is the first of the live ones in the order of
// names.
func (o *ownership) isFirstLive() bool {
	live, _ := o.directory()
	return len(live) > 0 && live[0].Entry == o.entry.settings.Name
}

// entryGone reports whether no live entry has the given name and incarnation.
func (o *ownership) entryGone(entry, incarnation string) bool {
	live, _ := o.directory()
	return !slices.ContainsFunc(live, func(e messenger.EntryAddress) bool {
		return e.Entry == entry && e.Incarnation == incarnation
	})
}
