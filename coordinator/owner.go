package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/cataloger"
	"apricotwinch/conductor"
	"apricotwinch/connector"
	"apricotwinch/elector"
	"apricotwinch/messenger"
	"apricotwinch/timekeeper"
)

// producerName is the name under which owners append to the journal of work.
const producerName = "owner"

// maxFirstSequence bounds the random first sequence number of an epoch, by which the store
// distinguishes two entries that claim the same epoch.
const maxFirstSequence = 1 << 40

// join registers the entry in the store and reads who owns the workloads. It retries until
// both have succeeded.
func (c *Coordinator) join(ctx context.Context) {
	record, err := json.Marshal(c.self)
	if err != nil {
		c.deps.Logger.Error("own member record not encoded", "error", err)
		return
	}
	joined := false
	for ctx.Err() == nil {
		if !joined {
			err := c.callStore(ctx, func(ctx context.Context) error {
				return c.deps.Log.Put(ctx, appender.JournalMembers, []appender.KeyedRecord{appender.NewKeyedRecord(c.self.Name, record)})
			})
			joined = err == nil
			if joined {
				c.deps.Logger.Info("entry registered in the store", "entry", c.self.Name)
			}
		}
		if joined && c.readOwnership(ctx, appender.JournalOwner) {
			return
		}
		timekeeper.Sleep(ctx, c.deps.Clock, storeRetryDelay)
	}
}

// readOwnership reads the members, and the owner from the given journal, and passes them to the
// elector. It reports whether the store could be read.
func (c *Coordinator) readOwnership(ctx context.Context, journal string) bool {
	var members, ownerRecords []appender.KeyedRecord
	err := c.readStore(ctx, func(ctx context.Context) (err error) {
		if members, err = c.deps.Log.Newest(ctx, appender.JournalMembers); err != nil {
			return err
		}
		ownerRecords, err = c.deps.Log.Newest(ctx, journal)
		return err
	})
	if err != nil {
		c.deps.Logger.Info("store not read", "kind", string(apricotwinch.KindOf(err)), "error", err)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.deps.Clock.Now()
	c.elector.RecordStoreAnswer(now)
	for _, r := range members {
		var m messenger.Member
		if err := json.Unmarshal(r.Value(), &m); err != nil {
			c.deps.Logger.Warn("member record ignored", "key", r.Key(), "error", err)
			continue
		}
		c.elector.AddMember(now, m)
	}
	if owner, ok := findOwner(ownerRecords); ok {
		c.elector.RecordOwner(now, int64(owner.Epoch), owner.Member)
	}
	return true
}

// findOwner returns the owner's record among records, if there is one.
func findOwner(records []appender.KeyedRecord) (messenger.OwnerRecord, bool) {
	for _, r := range records {
		var owner messenger.OwnerRecord
		if r.Key() == conductor.KeyOwner && json.Unmarshal(r.Value(), &owner) == nil {
			return owner, true
		}
	}
	return messenger.OwnerRecord{}, false
}

// callStore calls f, which makes one or more calls of the store, with a timeout of storeTimeout.
func (c *Coordinator) callStore(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return f(ctx)
}

// readStore calls f, which reads journals, with a timeout of storeReadTimeout.
func (c *Coordinator) readStore(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	return f(ctx)
}

// claim appends a claim in the next epoch to the journal of work, if it is still due once the store
// has answered. If the store commits it, which fences every earlier owner, claim reads the journal and
// takes over the workloads.
func (c *Coordinator) claim(ctx context.Context) {
	defer func() {
		c.mu.Lock()
		c.claiming = false
		c.mu.Unlock()
	}()
	if !c.readOwner(ctx) {
		timekeeper.Sleep(ctx, c.deps.Clock, storeRetryDelay)
		return
	}
	c.mu.Lock()
	if !c.elector.ClaimDue(c.deps.Clock.Now()) {
		c.mu.Unlock()
		return
	}
	epoch := c.elector.Epoch() + 1
	previous := c.elector.Owner()
	ownerStopped := c.elector.PreviousOwnerStopped()
	reason, ownerSilence := c.countClaim()
	if c.lastClaim.producer.Epoch() != epoch {
		// A claim that got no answer is sent again as it was: the store may have carried it out.
		c.lastClaim = claimAttempt{producer: appender.NewProducer(producerName, epoch, rand.Int64N(maxFirstSequence)+1), sent: c.deps.Clock.Now()}
	}
	producer, sent := c.lastClaim.producer, c.lastClaim.sent
	c.mu.Unlock()
	record, err := json.Marshal(messenger.OwnerRecord{Member: c.self, Epoch: int(epoch)})
	if err != nil {
		c.deps.Logger.Error("owner record not encoded", "error", err)
		return
	}
	err = c.appendClaim(ctx, producer, conductor.ClaimRecords(c.self, epoch))
	if err != nil {
		c.deps.Logger.Info("claim failed", "epoch", epoch, "reason", string(reason), "kind", string(apricotwinch.KindOf(err)), "error", err)
		c.handleClaimFailure(ctx, epoch, err)
		return
	}
	c.deps.Logger.Info("claim committed", "epoch", epoch, "before", previous.Name, "clean", ownerStopped,
		"reason", string(reason), "ownerSilentMillis", ownerSilence.Milliseconds())
	c.takeOver(ctx, epoch, producer.Next(), ownerStopped, sent, record)
}

// takeOver reads the journal after the store has committed the claim of epoch, which was sent at sent, takes over the
// workloads and publishes the owner's record.
func (c *Coordinator) takeOver(ctx context.Context, epoch int64, producer appender.Producer, ownerStopped bool, sent time.Time, record []byte) {
	c.mu.Lock()
	c.failedClaims = 0
	c.elector.RecordTakeover(epoch)
	c.mu.Unlock()
	// From here on this entry replies to the pings of earlier owners with the later epoch.
	claimedAt := c.deps.Clock.Now()
	defer func() {
		c.mu.Lock()
		c.elector.EndTakeover(c.deps.Clock.Now())
		c.mu.Unlock()
	}()
	c.pingAll(ctx)
	var records []appender.KeyedRecord
	err := c.readStore(ctx, func(ctx context.Context) (err error) {
		records, err = c.deps.Log.Newest(ctx, appender.JournalWork)
		return err
	})
	if err != nil {
		c.deps.Logger.Info("journal not read", "epoch", epoch, "error", err)
		return
	}
	c.takeOwnership(epoch, producer, ownerStopped, records, sent, claimedAt)
	c.publishOwner(ctx, record)
}

// readOwner reads the owner's record from the small journal and passes it to the elector. It reports
// whether the store answered, so that a claim is not sent into a partition that would hold it up.
func (c *Coordinator) readOwner(ctx context.Context) bool {
	var records []appender.KeyedRecord
	err := c.callStore(ctx, func(ctx context.Context) (err error) {
		records, err = c.deps.Log.Newest(ctx, appender.JournalOwner)
		return err
	})
	if err != nil {
		c.deps.Logger.Info("claim not sent: the store does not answer", "kind", string(apricotwinch.KindOf(err)), "error", err)
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.deps.Clock.Now()
	c.elector.RecordStoreAnswer(now)
	if owner, ok := findOwner(records); ok {
		c.elector.RecordOwner(now, int64(owner.Epoch), owner.Member)
	}
	return true
}

// handleClaimFailure notes that another entry's claim came first, if that is why the claim in
// epoch failed. The new owner's pings usually name it soon. The entry reads the journal only
// after a second failure in a row, since otherwise all entries that lost would read it at once.
func (c *Coordinator) handleClaimFailure(ctx context.Context, epoch int64, err error) {
	if apricotwinch.KindOf(err) != apricotwinch.StaleEpoch {
		return
	}
	var fenced appender.FencedError
	if errors.As(err, &fenced) {
		epoch = max(epoch, fenced.Epoch)
	}
	c.mu.Lock()
	c.elector.RecordLaterEpoch(c.deps.Clock.Now(), epoch)
	c.failedClaims++
	repeated := c.failedClaims > 1
	c.mu.Unlock()
	if repeated {
		c.readOwnership(ctx, appender.JournalWork)
	}
}

// publishOwner writes the owner's record to a small journal of its own, so that an entry that
// starts need not read the journal of work to find the owner.
func (c *Coordinator) publishOwner(ctx context.Context, record []byte) {
	err := c.callStore(ctx, func(ctx context.Context) error {
		return c.deps.Log.Put(ctx, appender.JournalOwner, []appender.KeyedRecord{appender.NewKeyedRecord(conductor.KeyOwner, record)})
	})
	if err != nil {
		c.deps.Logger.Info("owner not published", "kind", string(apricotwinch.KindOf(err)), "error", err)
	}
}

// takeOwnership starts the conductor of an epoch from the records of the journal of work, unless
// another entry has claimed the ownership since or this entry shuts down. The claim was sent at
// sent, and known to be committed at claimedAt.
func (c *Coordinator) takeOwnership(
	epoch int64, producer appender.Producer, ownerStopped bool, records []appender.KeyedRecord, sent, claimedAt time.Time,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.deps.Clock.Now()
	if owner, ok := findOwner(records); ok && owner.Member != c.self || c.elector.Epoch() > epoch || c.draining {
		c.deps.Logger.Info("claim superseded", "epoch", epoch, "known", c.elector.Epoch())
		return
	}
	config := conductor.NewConfig(c.settings.Features)
	config.MaxTasks = c.settings.MaxTasks
	config.MaxRecordBytes = c.settings.MaxRecordBytes
	next := conductor.New(config, epoch, ownerStopped, c.deps.Logger, c.deps.Registry)
	if c.catalog != nil {
		next.SetCatalog(c.catalog)
	}
	next.SetOutOfService(c.outOfService)
	next.SetEpochLog(c.elector)
	next.SetClaimedAt(claimedAt)
	for _, err := range next.Restore(now, records) {
		c.deps.Logger.Error("record not restored", "epoch", epoch, "error", err)
		metrics.GetOrRegisterCounter("journal.bad_records", c.deps.Registry).Inc(1)
	}
	c.elector.RecordClaim(sent, now, epoch)
	c.appendRefusedAt, c.refusedSince = time.Time{}, time.Time{}
	c.appendTook = 0
	c.producer = producer
	c.conductor = next
	c.ownedSince = now
	c.deps.Logger.Info("ownership taken", "epoch", epoch, "records", len(records), "tookMillis", now.Sub(sent).Milliseconds())
	metrics.GetOrRegisterCounter("ownership.taken", c.deps.Registry).Inc(1)
	c.broadcast()
	go c.pingAll(context.Background())
}

// appendClaim repeats the append of a claim until its result is final, the store refuses it, the
// claim is no longer due or ctx is done. A partition that delays a claim may also have caused it: when
// the partition ends, the owner is heard again, and the claim would depose it.
func (c *Coordinator) appendClaim(ctx context.Context, producer appender.Producer, records []appender.KeyedRecord) error {
	for {
		err := c.callStore(ctx, func(ctx context.Context) error {
			return c.deps.Log.Append(ctx, appender.JournalWork, producer, records)
		})
		if appender.IsFinal(err) || apricotwinch.KindOf(err) == apricotwinch.LogUnavailable || ctx.Err() != nil {
			return err
		}
		timekeeper.Sleep(ctx, c.deps.Clock, storeRetryDelay)
		c.mu.Lock()
		due := c.elector.ClaimDue(c.deps.Clock.Now())
		c.mu.Unlock()
		if !due {
			metrics.GetOrRegisterCounter("claims.given_up", c.deps.Registry).Inc(1)
			return err
		}
		c.deps.Logger.Info("claim sent again", "epoch", producer.Epoch(), "sequence", producer.Sequence(), "error", err)
	}
}

// writeLoop appends the records that the conductor wants to be durable, until ctx is done.
func (c *Coordinator) writeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.writerWake:
		}
		for c.writeBatch(ctx) {
		}
	}
}

// writeBatch appends one batch of records and reports whether to write another one at once. It
// repeats an append that fails, as the store may have carried it out, and takes back one that
// the store refused at the first attempt.
func (c *Coordinator) writeBatch(ctx context.Context) bool {
	c.mu.Lock()
	owner := c.conductor
	if owner == nil {
		c.mu.Unlock()
		return false
	}
	if any, _ := owner.PendingWrites(); !any {
		c.mu.Unlock()
		return false
	}
	records, number := owner.TakeWrites()
	producer := c.producer
	c.producer = producer.Next()
	firstSent := c.deps.Clock.Now()
	c.appendStartedAt = firstSent
	c.nonUrgentSince = time.Time{}
	c.mu.Unlock()
	maybeWritten := false
	for {
		sent := c.deps.Clock.Now()
		err := c.callStore(ctx, func(ctx context.Context) error {
			return c.deps.Log.Append(ctx, appender.JournalWork, producer, records)
		})
		refused := apricotwinch.KindOf(err) == apricotwinch.LogUnavailable
		maybeWritten = maybeWritten || err != nil && !refused
		if refused && !maybeWritten {
			c.undoAppend(owner, producer, records)
			timekeeper.Sleep(ctx, c.deps.Clock, storeRetryDelay)
			return true
		}
		if err == nil {
			c.recordAppend(owner, firstSent)
		}
		if c.handleAppendResult(ctx, owner, number, records, sent, err) {
			break
		}
		timekeeper.Sleep(ctx, c.deps.Clock, storeRetryDelay)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conductor != owner {
		return false
	}
	_, urgent := owner.PendingWrites()
	return urgent
}

// recordAppend records that the store accepted an append of an owner. A repeated append may have
// taken effect when it was first sent, at firstSent.
func (c *Coordinator) recordAppend(owner *conductor.Conductor, firstSent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conductor == owner {
		c.elector.RecordAppend(firstSent)
		c.releaseProven(c.deps.Clock.Now())
	}
}

// undoAppend takes back an append that the store refused, so that it was certainly not carried
// out. Submissions are refused for refusalBackoff from then on.
func (c *Coordinator) undoAppend(owner *conductor.Conductor, producer appender.Producer, records []appender.KeyedRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conductor != owner {
		return
	}
	if c.appendRefusedAt.IsZero() {
		c.refusedSince = c.deps.Clock.Now()
		c.deps.Logger.Info("store refuses appends", "epoch", owner.Epoch(), "records", len(records))
	}
	metrics.GetOrRegisterCounter("store.append_refusals", c.deps.Registry).Inc(1)
	c.appendRefusedAt = c.deps.Clock.Now()
	c.appendStartedAt = time.Time{}
	c.producer = producer
	owner.RevertAppend(c.deps.Clock.Now(), records)
	c.broadcast()
}

// handleAppendResult processes the result of an append and reports whether it is final, so that
// the append need not be repeated.
func (c *Coordinator) handleAppendResult(ctx context.Context, owner *conductor.Conductor, number int64, records []appender.KeyedRecord, sent time.Time, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conductor != owner || ctx.Err() != nil {
		c.appendStartedAt = time.Time{}
		return true
	}
	now := c.deps.Clock.Now()
	switch {
	case err == nil:
		metrics.GetOrRegisterTimer("store.append", c.deps.Registry).Update(now.Sub(sent))
		c.appendStartedAt = time.Time{}
		if !c.appendRefusedAt.IsZero() {
			c.deps.Logger.Info("store accepts appends again", "epoch", owner.Epoch())
		}
		c.appendRefusedAt, c.refusedSince = time.Time{}, time.Time{}
		c.appendTook = now.Sub(sent)
		c.elector.RecordStoreAnswer(now)
		owner.AppendCommitted(number, records)
		c.broadcast()
		c.requestAwaitedProof()
		c.advance(ctx, now, false)
		return true
	case apricotwinch.KindOf(err) == apricotwinch.StaleEpoch:
		c.appendStartedAt = time.Time{}
		c.elector.RecordLaterEpoch(now, owner.Epoch()+1)
		c.endOwnership("the store knows a later epoch")
		return true
	}
	metrics.GetOrRegisterCounter("store.append_failures", c.deps.Registry).Inc(1)
	c.deps.Logger.Info("append failed", "number", number, "kind", string(apricotwinch.KindOf(err)), "error", err)
	return false
}

// pingLoop pings the peers every pingPeriod until ctx is done.
func (c *Coordinator) pingLoop(ctx context.Context) {
	ticker := c.deps.Clock.NewTicker(pingPeriod)
	defer ticker.Stop()
	for {
		c.ping(ctx, (*elector.Elector).PingTargets)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// pingAll pings all peers, so that they learn of a change of the owner at once.
func (c *Coordinator) pingAll(ctx context.Context) {
	c.ping(ctx, (*elector.Elector).AllPingTargets)
}

// ping pings the peers that targets returns, or the seeds while no peer is known. It does not
// wait for replies.
func (c *Coordinator) ping(ctx context.Context, targets func(*elector.Elector, time.Time) []messenger.Member) {
	c.mu.Lock()
	now := c.deps.Clock.Now()
	peers := targets(c.elector, now)
	ping := c.currentPing()
	newerPeer, behind := c.choosePeerForConfig(ping.View)
	if behind && !slices.Contains(peers, newerPeer) {
		peers = append(peers, newerPeer)
	}
	ping.AsksMembers = c.membersDue(now)
	seeds := c.settings.Seeds
	if c.elector.PeerCount() > 0 {
		seeds = nil
	}
	c.mu.Unlock()
	for _, p := range peers {
		peerPing := ping
		peerPing.AsksConfig = behind && p == newerPeer
		ping.AsksMembers = false
		go c.pingPeer(ctx, p.Name, p.Address, peerPing)
	}
	for _, address := range seeds {
		if address != c.self.Address {
			go c.pingPeer(ctx, "", address, ping)
		}
	}
}

// choosePeerForConfig returns the peer to request a configuration from: one that has a later
// version than view, which the store has not delivered for peerConfigDelay. It returns false if
// no request is due. c.mu is held.
func (c *Coordinator) choosePeerForConfig(view int) (messenger.Member, bool) {
	now := c.deps.Clock.Now()
	peer, ok := c.elector.PeerWithNewerConfig(now, view)
	switch {
	case !ok:
		c.behindSince = time.Time{}
		return peer, false
	case c.behindSince.IsZero():
		c.behindSince = now
	}
	if now.Sub(c.behindSince) < peerConfigDelay || now.Sub(c.configRequestedAt) < peerConfigInterval {
		return peer, false
	}
	c.configRequestedAt = now
	c.deps.Logger.Info("configuration requested from a peer", "peer", peer.Name, "version", view, "behindMillis", now.Sub(c.behindSince).Milliseconds())
	return peer, true
}

// membersDue reports whether it is time to ask a peer for the entries that it knows: often after
// the start, as entries that start together register one after the other. c.mu is held.
func (c *Coordinator) membersDue(now time.Time) bool {
	period := membersPeriod
	if now.Sub(c.startedAt) < membersPeriod {
		period = startMembersPeriod
	}
	if now.Sub(c.membersAskedAt) < period || c.elector.PeerCount() == 0 {
		return false
	}
	c.membersAskedAt = now
	return true
}

// encodedConfig returns the configuration in force in the form that is sent to peers; c.mu is
// held.
func (c *Coordinator) encodedConfig() string {
	if c.encodedCatalog == "" {
		encoded, err := c.catalog.Encode()
		if err != nil {
			c.deps.Logger.Error("configuration not encoded for a peer", "version", c.catalog.Version(), "error", err)
		}
		c.encodedCatalog = encoded
	}
	return c.encodedCatalog
}

// currentPing returns the ping that this entry sends to its peers now; c.mu is held.
func (c *Coordinator) currentPing() messenger.Ping {
	return c.elector.Ping(c.deps.Clock.Now(), c.configVersion())
}

// configVersion returns the version of the configuration in force, or 0 if there is none; c.mu is held.
func (c *Coordinator) configVersion() int {
	if c.catalog == nil {
		return 0
	}
	return c.catalog.Version()
}

// pingPeer pings one peer and processes its reply. The name of a seed is not known, and empty.
func (c *Coordinator) pingPeer(ctx context.Context, name, address string, ping messenger.Ping) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sent := c.deps.Clock.Now()
	var reply messenger.PingReply
	err := c.pool.Call(ctx, address, messenger.MethodPing, ping, &reply)
	c.applyPeerConfig(reply.Config)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		if name != "" && errors.Is(err, syscall.ECONNREFUSED) {
			c.elector.MarkPeerGone(sent, messenger.Member{Name: name, Address: address})
		}
		return
	}
	now := c.deps.Clock.Now()
	c.broadcastNewOwner(func() {
		c.elector.HandlePingReply(sent, now, reply.Ping)
		for _, m := range reply.Members {
			c.elector.AddMember(now, m)
		}
		if reply.Owner != nil {
			c.elector.RecordOwner(now, int64(reply.Owner.Epoch), reply.Owner.Member)
		}
	})
	c.releaseProven(now)
}

// applyPeerConfig puts the configuration of a peer in force if its version is later; encoded is
// empty if the peer sent none.
func (c *Coordinator) applyPeerConfig(encoded string) {
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

// handlePing processes a peer's ping and returns this entry's own state in reply, with the
// configuration if the peer requests it and its version is earlier. An entry that is at work replies with
// the copy of its state, and processes the ping afterwards.
func (c *Coordinator) handlePing(_ context.Context, ping messenger.Ping) (messenger.PingReply, error) {
	if !c.mu.TryLock() {
		if state, ok := c.recentCopy(); ok && !ping.AsksMembers && !ping.AsksConfig {
			go c.processPing(ping)
			return state.pingReply(c.deps.Clock.Now(), ping), nil
		}
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	c.broadcastNewOwner(func() { c.elector.HandlePing(c.deps.Clock.Now(), ping) })
	reply := messenger.PingReply{Ping: c.currentPing()}
	if ping.AsksMembers {
		reply.Members = c.elector.Peers()
	}
	if owner := c.elector.Owner(); ping.AsksOwner && owner.Name != "" {
		reply.Owner = &messenger.OwnerRecord{Member: owner, Epoch: int(c.elector.Epoch())}
	}
	if ping.AsksConfig && reply.Ping.View > ping.View {
		reply.Config = c.encodedConfig()
	}
	return reply, nil
}

// processPing processes a peer's ping that was replied to.
func (c *Coordinator) processPing(ping messenger.Ping) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broadcastNewOwner(func() { c.elector.HandlePing(c.deps.Clock.Now(), ping) })
}

// handlers returns the handlers of the methods that peers and agents call.
func (c *Coordinator) handlers() connector.Table {
	return connector.Table{
		messenger.MethodPing:           connector.Handle(c.handlePing),
		messenger.MethodReport:         connector.Handle(c.handleReport),
		messenger.MethodSubmitWorkload: connector.Handle(c.submitTimed),
		messenger.MethodShowWorkload:   connector.Handle(c.showLocally),
		messenger.MethodCancelWorkload: connector.Handle(c.cancelLocally),
		messenger.MethodCountWaiting:   connector.Handle(c.countLocally),
	}
}
