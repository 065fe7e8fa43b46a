package agent

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/connector"
	"apricotwinch/messenger"
)

// taskRunning is the worker's phase for a running task.
const taskRunning = "running"

// disconnectedAfter is the time without a reply from any entry after which heartbeats are also
// sent to the entries of the settings.
const disconnectedAfter = 4 * time.Second

// maxEntryListAge is the greatest age at which the proof that a list of live entries is complete
// still counts.
const maxEntryListAge = 4 * time.Second

// heartbeat announces the host to its home entries: the few entries, chosen by ChooseHomeEntries,
// that receive the host's heartbeats.
type heartbeat struct {
	clock    clockwork.Clock
	logger   hclog.Logger
	registry metrics.Registry
	pool     *connector.Pool
	settings Settings
	timeout  time.Duration
	state    func() messenger.Announce
	onReply  func(sent time.Time, reply messenger.AnnounceReply)
	usage    *usageReporter
	wakeups  chan struct{}

	sequence   int
	lastSent   messenger.Announce
	lastSentAt time.Time

	mu              sync.Mutex
	entries         []messenger.EntryAddress
	entriesProvedAt time.Time
	directoryHash   int // Hash of the latest directory: the entries and the partition owners.
	inFlight        map[string]bool
	calls           sync.WaitGroup
	lastReplyAt     time.Time
	disconnected    bool
}

// run sends heartbeats until ctx is done: at the heartbeat period while the state changes, at the
// idle period otherwise, and at once on requestNow.
func (h *heartbeat) run(ctx context.Context) {
	period := millisOr(h.settings.HeartbeatMillis, time.Second)
	ticker := h.clock.NewTicker(period)
	defer ticker.Stop()
	defer h.calls.Wait()
	h.sendToHomes(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.wakeups:
			h.sendToHomes(ctx)
		case <-ticker.Chan():
			if h.due() {
				h.sendToHomes(ctx)
			}
		}
	}
}

// due reports whether the state changed or the idle period is over.
func (h *heartbeat) due() bool {
	if h.clock.Since(h.lastSentAt) >= millisOr(h.settings.IdleHeartbeatMillis, 2*time.Second) {
		return true
	}
	return !sameState(h.lastSent, h.state()) || h.usage.due(h.clock.Now())
}

// sameState reports whether a and b are equal apart from times, latencies and slowdowns.
func sameState(a, b messenger.Announce) bool {
	return a.Draining == b.Draining && a.Committed == b.Committed &&
		slices.EqualFunc(a.Services, b.Services, func(x, y messenger.ServiceSummary) bool {
			x.LatencyMicros, y.LatencyMicros = 0, 0
			x.LagMillis, y.LagMillis = 0, 0
			x.SlowdownPermille, y.SlowdownPermille = 0, 0
			return x == y
		})
}

// sendToHomes sends one heartbeat to each home entry that has no heartbeat in flight. One of them
// also gets the usage reports when they are due.
func (h *heartbeat) sendToHomes(ctx context.Context) {
	announce := h.state()
	h.lastSent = announce
	h.lastSentAt = h.clock.Now()
	h.sequence++
	announce.Sequence = h.sequence
	if !h.usage.tasksKnown(h.lastSentAt) {
		for i := range announce.Services {
			announce.Services[i].SlowdownPermille = 0
		}
	}
	reports, usageDue := h.usage.take(h.lastSentAt)
	addresses := h.homeAddresses()
	usageHome := h.usage.homeIndex(h.settings.Name, len(addresses))
	for i, address := range addresses {
		message := announce
		if usageDue && i == usageHome {
			message.Usage = reports
			message.UsageSequence = h.sequence
		}
		if !h.startAnnounce(ctx, address, message) {
			h.lastSentAt = time.Time{}
		}
	}
	h.updateDisconnected()
}

// startAnnounce sends one heartbeat to the entry at address in the background. It reports false
// and sends nothing if the previous heartbeat to it is still in flight.
func (h *heartbeat) startAnnounce(ctx context.Context, address string, announce messenger.Announce) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.inFlight[address] {
		metrics.GetOrRegisterCounter("announce.skipped", h.registry).Inc(1)
		if announce.UsageSequence > 0 {
			h.usage.markFailed()
		}
		return false
	}
	h.inFlight[address] = true
	announce.Directory = h.directoryHash
	h.calls.Go(func() {
		h.announce(ctx, address, announce)
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.inFlight, address)
	})
	return true
}

// announce sends one heartbeat to the entry at address and handles the reply.
func (h *heartbeat) announce(ctx context.Context, address string, announce messenger.Announce) {
	ctx, cancel := clockwork.WithTimeout(ctx, h.clock, h.timeout)
	defer cancel()
	sent := h.clock.Now()
	var reply messenger.AnnounceReply
	if err := h.pool.Call(ctx, address, messenger.MethodAnnounce, announce, &reply); err != nil {
		metrics.GetOrRegisterCounter("retried.announce."+string(apricotwinch.KindOf(err)), h.registry).Inc(1)
		h.recordUsageDelivery(announce, false)
		return
	}
	h.onReply(sent, reply)
	h.recordUsageDelivery(announce, true)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastReplyAt = h.clock.Now()
	h.updateEntries(sent, reply)
}

// updateEntries takes the list of live entries from the reply to a heartbeat sent at sent; a reply
// without a list confirms the known one if the directory hash matches. An entry that is
// partitioned from the log considers the other entries gone, so a list with an old proof, or one
// older than that of the known list, is ignored once a list is known.
func (h *heartbeat) updateEntries(sent time.Time, reply messenger.AnnounceReply) {
	age := time.Duration(reply.ViewAgeMillis) * time.Millisecond
	proved := sent.Add(-age)
	known := len(h.entries) > 0
	switch {
	case known && proved.Before(h.entriesProvedAt), known && age > maxEntryListAge:
		metrics.GetOrRegisterCounter("announce.stale_entries", h.registry).Inc(1)
	case len(reply.Entries) > 0:
		h.entries = reply.Entries
		h.directoryHash = reply.Directory
		h.entriesProvedAt = proved
	case known && reply.Directory == h.directoryHash:
		h.entriesProvedAt = proved
	}
	if !known && len(h.entries) > 0 {
		h.requestNow()
	}
}

// recordUsageDelivery records whether the usage reports of a heartbeat, if it had any, arrived.
func (h *heartbeat) recordUsageDelivery(announce messenger.Announce, arrived bool) {
	switch {
	case announce.UsageSequence == 0:
	case arrived:
		h.usage.markDelivered(h.clock.Now(), announce.Usage)
	default:
		h.usage.markFailed()
	}
}

// requestNow requests that a heartbeat be sent at once. It does not block.
func (h *heartbeat) requestNow() {
	select {
	case h.wakeups <- struct{}{}:
	default:
	}
}

// homeAddresses returns the addresses that heartbeats are sent to: those of the home entries, and
// those of the settings while no entry is known or none replies.
func (h *heartbeat) homeAddresses() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var addresses []string
	for _, entry := range ChooseHomeEntries(h.settings.Name, h.settings.DataCentre, h.entries, cmp.Or(h.settings.HomeEntries, 3)) {
		addresses = append(addresses, entry.Address)
	}
	if len(addresses) == 0 || h.disconnected {
		addresses = append(addresses, h.settings.Entries...)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// updateDisconnected checks whether any entry replies to heartbeats, and logs a change.
func (h *heartbeat) updateDisconnected() {
	h.mu.Lock()
	defer h.mu.Unlock()
	disconnected := h.clock.Since(h.lastReplyAt) > disconnectedAfter
	if h.disconnected == disconnected {
		return
	}
	h.disconnected = disconnected
	if disconnected {
		h.logger.Warn("no entry answers heartbeats")
		return
	}
	h.logger.Info("an entry answers heartbeats")
}
