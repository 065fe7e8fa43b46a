package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/cataloger"
	"apricotwinch/conductor"
	"apricotwinch/connector"
	"apricotwinch/messenger"
	"apricotwinch/timekeeper"
)

// producerName names the owner as a writer of the journal of work.
const producerName = "owner"

// maxFirstSequence bounds the random first sequence number of an epoch, which
// tells apart two entries that claim the same epoch.
const maxFirstSequence = 1 << 40

// join makes the entry known and learns who owns the workloads.
func (c *Coordinator) join(ctx context.Context) {
	record, err := json.Marshal(c.self)
	if err != nil {
		c.deps.Logger.Error("own record", "error", err)
		return
	}
	joined := false
	for ctx.Err() == nil {
		sent := c.deps.Clock.Now()
		if !joined {
			err := c.call(ctx, func(ctx context.Context) error {
				return c.deps.Log.Put(ctx, appender.JournalMembers, []appender.KeyedRecord{appender.NewKeyedRecord(c.self.Name, record)})
			})
			joined = err == nil
			if joined {
				c.deps.Logger.Info("entry known in the store", "entry", c.self.Name)
			}
		}
		if joined && c.learn(ctx, sent, appender.JournalOwner) {
			return
		}
		timekeeper.Sleep(ctx, c.deps.Clock, storeRetry)
	}
}

// learn reads the members, and the owner from a journal that holds its record.
func (c *Coordinator) learn(ctx context.Context, sent time.Time, journal string) bool {
	var members, holding []appender.KeyedRecord
	err := c.call(ctx, func(ctx context.Context) (err error) {
		if members, err = c.deps.Log.Newest(ctx, appender.JournalMembers); err != nil {
			return err
		}
		holding, err = c.deps.Log.Newest(ctx, journal)
		return err
	})
	if err != nil {
		c.deps.Logger.Info("store not read", "kind", string(apricotwinch.KindOf(err)), "error", err)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.deps.Clock.Now()
	c.elector.StoreAnswered(sent, now)
	for _, r := range members {
		var m messenger.Member
		if err := json.Unmarshal(r.Value(), &m); err != nil {
			c.deps.Logger.Warn("member record ignored", "key", r.Key(), "error", err)
			continue
		}
		c.elector.Known(now, m)
	}
	if owner, ok := ownerOf(holding); ok {
		c.elector.Learned(now, int64(owner.Epoch), owner.Member)
	}
	return true
}

func ownerOf(records []appender.KeyedRecord) (messenger.OwnerRecord, bool) {
	for _, r := range records {
		var owner messenger.OwnerRecord
		if r.Key() == conductor.KeyOwner && json.Unmarshal(r.Value(), &owner) == nil {
			return owner, true
		}
	}
	return messenger.OwnerRecord{}, false
}

// call bounds one call of the store.
func (c *Coordinator) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return f(ctx)
}

// claim appends a claim in the next epoch and takes the workloads over.
func (c *Coordinator) claim(ctx context.Context) {
	defer func() {
		c.mu.Lock()
		c.claiming = false
		c.mu.Unlock()
	}()
	c.mu.Lock()
	epoch := c.elector.Epoch() + 1
	before := c.elector.Owner()
	clean := c.elector.Clean()
	c.mu.Unlock()
	record, err := json.Marshal(messenger.OwnerRecord{Member: c.self, Epoch: int(epoch)})
	if err != nil {
		c.deps.Logger.Error("owner record", "error", err)
		return
	}
	producer := appender.NewProducer(producerName, epoch, rand.Int64N(maxFirstSequence)+1)
	sent := c.deps.Clock.Now()
	err = c.appendOnce(ctx, producer, []appender.KeyedRecord{appender.NewKeyedRecord(conductor.KeyOwner, record)})
	if err != nil {
		c.deps.Logger.Info("claim failed", "epoch", epoch, "kind", string(apricotwinch.KindOf(err)), "error", err)
		c.claimFailed(ctx, sent, epoch, err)
		return
	}
	c.failedClaims = 0
	c.deps.Logger.Info("claim landed", "epoch", epoch, "before", before.Name, "clean", clean)
	var records []appender.KeyedRecord
	err = c.call(ctx, func(ctx context.Context) (err error) {
		records, err = c.deps.Log.Newest(ctx, appender.JournalWork)
		return err
	})
	if err != nil {
		c.deps.Logger.Info("journal not read", "epoch", epoch, "error", err)
		return
	}
	c.own(epoch, producer.Next(), clean, records, sent)
	c.publishOwner(ctx, record)
}

// claimFailed draws the consequences of a claim that did not land. The winner tells of
// itself soon; the journal, which all losers would read at once, is read only when that
// did not help.
func (c *Coordinator) claimFailed(ctx context.Context, sent time.Time, epoch int64, err error) {
	if apricotwinch.KindOf(err) != apricotwinch.StaleEpoch {
		return
	}
	c.mu.Lock()
	c.elector.Superseded(c.deps.Clock.Now(), epoch)
	c.failedClaims++
	again := c.failedClaims > 1
	c.mu.Unlock()
	if again {
		c.learn(ctx, sent, appender.JournalWork)
	}
}

// publishOwner lets entries that start know the owner without the journal of work.
func (c *Coordinator) publishOwner(ctx context.Context, record []byte) {
	err := c.call(ctx, func(ctx context.Context) error {
		return c.deps.Log.Put(ctx, appender.JournalOwner, []appender.KeyedRecord{appender.NewKeyedRecord(conductor.KeyOwner, record)})
	})
	if err != nil {
		c.deps.Logger.Info("owner not published", "kind", string(apricotwinch.KindOf(err)), "error", err)
	}
}

// own starts the conductor of an epoch from the records of the journal.
func (c *Coordinator) own(epoch int64, producer appender.Producer, clean bool, records []appender.KeyedRecord, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.deps.Clock.Now()
	if owner, ok := ownerOf(records); ok && owner.Member != c.self || c.elector.Epoch() > epoch || c.draining {
		c.deps.Logger.Info("claim overtaken", "epoch", epoch, "known", c.elector.Epoch())
		return
	}
	next := conductor.New(conductor.DefaultConfig(), epoch, clean, c.deps.Logger, c.deps.Registry)
	if c.catalog != nil {
		next.SetCatalog(c.catalog)
	}
	next.SetOut(c.out)
	if err := next.Restore(now, records); err != nil {
		c.deps.Logger.Error("journal not understood", "error", err)
		return
	}
	c.elector.Claimed(now, epoch)
	c.elector.StoreAnswered(sent, now)
	c.refusedAt = time.Time{}
	c.producer = producer
	c.conductor = next
	c.deps.Logger.Info("ownership taken", "epoch", epoch, "records", len(records), "tookMillis", now.Sub(sent).Milliseconds())
	metrics.GetOrRegisterCounter("ownership.taken", c.deps.Registry).Inc(1)
	c.broadcast()
	go c.pingAll(context.Background())
}

// appendOnce repeats an append until it is settled or has failed for long.
func (c *Coordinator) appendOnce(ctx context.Context, producer appender.Producer, records []appender.KeyedRecord) error {
	for {
		err := c.call(ctx, func(ctx context.Context) error {
			return c.deps.Log.Append(ctx, appender.JournalWork, producer, records)
		})
		if appender.Settled(err) || apricotwinch.KindOf(err) == apricotwinch.LogUnavailable || ctx.Err() != nil {
			return err
		}
		c.deps.Logger.Info("append repeated", "epoch", producer.Epoch(), "sequence", producer.Sequence(), "error", err)
		timekeeper.Sleep(ctx, c.deps.Clock, storeRetry)
	}
}

// write appends what the conductor wants to be durable until ctx is done.
func (c *Coordinator) write(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for c.writeOnce(ctx) {
		}
	}
}

// writeOnce makes one batch durable and reports whether another one is urgent.
func (c *Coordinator) writeOnce(ctx context.Context) bool {
	c.mu.Lock()
	owner := c.conductor
	if owner == nil {
		c.mu.Unlock()
		return false
	}
	if any, _ := owner.Wants(); !any {
		c.mu.Unlock()
		return false
	}
	records, number := owner.TakeWrites()
	producer := c.producer
	c.producer = producer.Next()
	c.writeAt = c.deps.Clock.Now()
	c.lazySince = time.Time{}
	c.mu.Unlock()
	unsure := false
	for {
		sent := c.deps.Clock.Now()
		err := c.call(ctx, func(ctx context.Context) error {
			return c.deps.Log.Append(ctx, appender.JournalWork, producer, records)
		})
		refused := apricotwinch.KindOf(err) == apricotwinch.LogUnavailable
		unsure = unsure || err != nil && !refused
		if refused && !unsure {
			c.undo(owner, producer, records)
			timekeeper.Sleep(ctx, c.deps.Clock, storeRetry)
			return true
		}
		if c.written(ctx, owner, number, records, sent, err) {
			break
		}
		timekeeper.Sleep(ctx, c.deps.Clock, storeRetry)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conductor != owner {
		return false
	}
	_, urgent := owner.Wants()
	return urgent
}

// undo takes back an append that the store provably refused.
func (c *Coordinator) undo(owner *conductor.Conductor, producer appender.Producer, records []appender.KeyedRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conductor != owner {
		return
	}
	if c.refusedAt.IsZero() {
		c.deps.Logger.Info("store refuses appends", "epoch", owner.Epoch(), "records", len(records))
	}
	metrics.GetOrRegisterCounter("store.append_refusals", c.deps.Registry).Inc(1)
	c.refusedAt = c.deps.Clock.Now()
	c.writeAt = time.Time{}
	c.producer = producer
	owner.Undo(records)
	c.broadcast()
}

// written draws the consequences of an append and reports whether it is settled.
func (c *Coordinator) written(ctx context.Context, owner *conductor.Conductor, number int64, records []appender.KeyedRecord, sent time.Time, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conductor != owner || ctx.Err() != nil {
		c.writeAt = time.Time{}
		return true
	}
	now := c.deps.Clock.Now()
	switch {
	case err == nil:
		metrics.GetOrRegisterTimer("store.append", c.deps.Registry).Update(now.Sub(sent))
		c.writeAt = time.Time{}
		if !c.refusedAt.IsZero() {
			c.deps.Logger.Info("store takes appends again", "epoch", owner.Epoch())
		}
		c.refusedAt = time.Time{}
		c.elector.StoreAnswered(sent, now)
		owner.Written(number, records)
		c.broadcast()
		c.advance(ctx, now, false)
		return true
	case apricotwinch.KindOf(err) == apricotwinch.StaleEpoch:
		c.writeAt = time.Time{}
		c.elector.Superseded(now, owner.Epoch()+1)
		c.drop("the store knows a later epoch")
		return true
	}
	metrics.GetOrRegisterCounter("store.append_failures", c.deps.Registry).Inc(1)
	c.deps.Logger.Info("append failed", "number", number, "kind", string(apricotwinch.KindOf(err)), "error", err)
	return false
}

// ping tells the peers about this entry until ctx is done.
func (c *Coordinator) ping(ctx context.Context) {
	ticker := c.deps.Clock.NewTicker(pingPeriod)
	defer ticker.Stop()
	for {
		c.pingAll(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (c *Coordinator) pingAll(ctx context.Context) {
	c.mu.Lock()
	peers := c.elector.Peers()
	ping := c.pingNow()
	newer := c.asksConfig(ping.View)
	seeds := c.settings.Seeds
	if len(peers) > 0 {
		seeds = nil
	}
	c.mu.Unlock()
	for _, p := range peers {
		told := ping
		told.AsksConfig = p.Name == newer
		go c.pingPeer(ctx, p.Name, p.Address, told)
	}
	for _, address := range seeds {
		if address != c.self.Address {
			go c.pingPeer(ctx, "", address, ping)
		}
	}
}

// asksConfig returns the peer to ask for a later configuration that the store does not
// bring; empty for none; c.mu is held.
func (c *Coordinator) asksConfig(view int) string {
	now := c.deps.Clock.Now()
	name, ok := c.elector.Newer(now, view)
	switch {
	case !ok:
		c.behindSince = time.Time{}
		return ""
	case c.behindSince.IsZero():
		c.behindSince = now
	}
	if now.Sub(c.behindSince) < configPatience || now.Sub(c.askedConfigAt) < configPause {
		return ""
	}
	c.askedConfigAt = now
	c.deps.Logger.Info("configuration asked of a peer", "peer", name, "version", view, "behindMillis", now.Sub(c.behindSince).Milliseconds())
	return name
}

// encodedConfig returns the configuration in force for a peer; c.mu is held.
func (c *Coordinator) encodedConfig() string {
	if c.encoded == "" {
		encoded, err := c.catalog.Encode()
		if err != nil {
			c.deps.Logger.Error("configuration not encoded for a peer", "version", c.catalog.Version(), "error", err)
		}
		c.encoded = encoded
	}
	return c.encoded
}

// pingNow returns what this entry tells; c.mu is held.
func (c *Coordinator) pingNow() messenger.Ping {
	version := 0
	if c.catalog != nil {
		version = c.catalog.Version()
	}
	return c.elector.Ping(c.deps.Clock.Now(), version)
}

func (c *Coordinator) pingPeer(ctx context.Context, name, address string, ping messenger.Ping) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var reply messenger.PingReply
	err := c.pool.Call(ctx, address, messenger.MethodPing, ping, &reply)
	c.takeConfig(reply.Config)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if name != "" && errors.Is(err, syscall.ECONNREFUSED) {
			c.elector.Refused(name)
		}
		return
	}
	now := c.deps.Clock.Now()
	c.elector.Pinged(now, reply.Ping)
	for _, m := range reply.Members {
		c.elector.Known(now, m)
	}
}

// takeConfig takes the configuration of a peer that has a later version.
func (c *Coordinator) takeConfig(encoded string) {
	if encoded == "" {
		return
	}
	catalog, err := cataloger.Decode(encoded)
	if err != nil {
		c.deps.Logger.Warn("configuration of a peer ignored", "error", err)
		return
	}
	c.SetCatalog(catalog)
}

// pinged answers a peer.
func (c *Coordinator) pinged(_ context.Context, ping messenger.Ping) (messenger.PingReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.elector.Pinged(c.deps.Clock.Now(), ping)
	reply := messenger.PingReply{Ping: c.pingNow(), Members: c.elector.Peers()}
	if ping.AsksConfig && reply.Ping.View > ping.View {
		reply.Config = c.encodedConfig()
	}
	return reply, nil
}

// table returns the methods that peers and agents call.
func (c *Coordinator) table() connector.Table {
	return connector.Table{
		messenger.MethodPing:           connector.Handle(c.pinged),
		messenger.MethodReport:         connector.Handle(c.reported),
		messenger.MethodSubmitWorkload: connector.Handle(c.submitHere),
		messenger.MethodShowWorkload:   connector.Handle(c.showHere),
		messenger.MethodCancelWorkload: connector.Handle(c.cancelHere),
		messenger.MethodCountWaiting:   connector.Handle(c.countHere),
	}
}

// reported takes an agent's report.
func (c *Coordinator) reported(ctx context.Context, r messenger.Report) (messenger.ReportReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.deps.Clock.Now()
	c.elector.HostHeard(now, r.Host, int64(r.Epoch), time.Duration(r.OwnerSilentMillis)*time.Millisecond)
	if c.conductor != nil && !c.elector.Owned() {
		c.drop("an agent knows a later epoch")
	}
	reply := messenger.ReportReply{Epoch: int(c.elector.Epoch()), OwnerAddress: c.elector.Owner().Address}
	if c.conductor != nil && c.elector.Authority(now) {
		reply = c.conductor.Report(now, r)
		reply.OwnerAddress = c.self.Address
		c.advance(context.WithoutCancel(ctx), now, false)
	}
	if r.AsksMembers {
		reply.Members = append(c.elector.Peers(), c.self)
		reply.LookoutMillis = int(c.elector.Lookout().Milliseconds())
	}
	return reply, nil
}
