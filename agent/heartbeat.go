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

// taskRunning is the phase of a running task at the worker.
const taskRunning = "running"

// homelessAfter is the silence of all home entries after which the addresses of
// the settings are tried again.
const homelessAfter = 4 * time.Second

// listLife is the greatest age of the proof of a list of live entries.
const listLife = 4 * time.Second

// heartbeat announces the host to its home entries.
type heartbeat struct {
	clock    clockwork.Clock
	logger   hclog.Logger
	registry metrics.Registry
	pool     *connector.Pool
	settings Settings
	timeout  time.Duration
	state    func() messenger.Announce
	took     func(sent time.Time, reply messenger.AnnounceReply)
	usage    *usage
	changes  chan struct{}

	sequence int
	sent     messenger.Announce
	sentAt   time.Time

	mu       sync.Mutex
	entries  []messenger.EntryAddress
	provedAt time.Time
	known    int // Hash of entries, and of the owners that came with them.
	calling  map[string]bool
	calls    sync.WaitGroup
	heardAt  time.Time
	homeless bool
}

// run sends heartbeats until ctx is done: at the period by change, at the idle
// period without one and at once when the host starts to leave.
func (h *heartbeat) run(ctx context.Context) {
	period := millis(h.settings.HeartbeatMillis, time.Second)
	ticker := h.clock.NewTicker(period)
	defer ticker.Stop()
	defer h.calls.Wait()
	h.beat(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.changes:
			h.beat(ctx)
		case <-ticker.Chan():
			if h.due() {
				h.beat(ctx)
			}
		}
	}
}

// due reports whether the state changed or the idle period is over.
func (h *heartbeat) due() bool {
	if h.clock.Since(h.sentAt) >= millis(h.settings.IdleHeartbeatMillis, 2*time.Second) {
		return true
	}
	return !sameState(h.sent, h.state()) || h.usage.due(h.clock.Now())
}

// sameState reports whether a and b differ in nothing but time and latency.
func sameState(a, b messenger.Announce) bool {
	return a.Draining == b.Draining && a.Committed == b.Committed &&
		slices.EqualFunc(a.Services, b.Services, func(x, y messenger.ServiceSummary) bool {
			x.LatencyMicros, y.LatencyMicros = 0, 0
			x.LagMillis, y.LagMillis = 0, 0
			x.SlowdownPermille, y.SlowdownPermille = 0, 0
			return x == y
		})
}

// beat sends one heartbeat to each home entry that isn't still answering the
// last one.
func (h *heartbeat) beat(ctx context.Context) {
	announce := h.state()
	h.sent = announce
	h.sentAt = h.clock.Now()
	h.sequence++
	announce.Sequence = h.sequence
	if !h.usage.settled(h.sentAt) {
		for i := range announce.Services {
			announce.Services[i].SlowdownPermille = 0
		}
	}
	reports, reporting := h.usage.take(h.sentAt)
	homes := h.homes()
	teller := h.usage.home(h.settings.Name, len(homes))
	for i, address := range homes {
		told := announce
		if reporting && i == teller {
			told.Usage = reports
			told.UsageSequence = h.sequence
		}
		if !h.call(ctx, address, told) {
			h.sentAt = time.Time{}
		}
	}
	h.note()
}

// call sends one heartbeat to the entry at address, beside the caller. It reports
// false when the last one is still under way.
func (h *heartbeat) call(ctx context.Context, address string, announce messenger.Announce) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.calling[address] {
		metrics.GetOrRegisterCounter("announce.skipped", h.registry).Inc(1)
		if announce.UsageSequence > 0 {
			h.usage.fail()
		}
		return false
	}
	h.calling[address] = true
	announce.Directory = h.known
	h.calls.Go(func() {
		h.announce(ctx, address, announce)
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.calling, address)
	})
	return true
}

// announce sends one heartbeat to the entry at address and takes the answer.
func (h *heartbeat) announce(ctx context.Context, address string, announce messenger.Announce) {
	ctx, cancel := clockwork.WithTimeout(ctx, h.clock, h.timeout)
	defer cancel()
	sent := h.clock.Now()
	var reply messenger.AnnounceReply
	if err := h.pool.Call(ctx, address, messenger.MethodAnnounce, announce, &reply); err != nil {
		metrics.GetOrRegisterCounter("retried.announce."+string(apricotwinch.KindOf(err)), h.registry).Inc(1)
		h.reported(announce, false)
		return
	}
	h.took(sent, reply)
	h.reported(announce, true)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heardAt = h.clock.Now()
	h.takeEntries(sent, reply)
}

// takeEntries takes the live entries from an answer to a heartbeat sent at sent;
// an answer without them confirms those that are known. An entry that is cut off
// from the log takes the others for gone, so that a list counts only with a fresh
// proof, and never against a newer one.
func (h *heartbeat) takeEntries(sent time.Time, reply messenger.AnnounceReply) {
	age := time.Duration(reply.ViewAgeMillis) * time.Millisecond
	proved := sent.Add(-age)
	known := len(h.entries) > 0
	switch {
	case known && proved.Before(h.provedAt), known && age > listLife:
		metrics.GetOrRegisterCounter("announce.stale_entries", h.registry).Inc(1)
	case len(reply.Entries) > 0:
		h.entries = reply.Entries
		h.known = reply.Directory
		h.provedAt = proved
	case known && reply.Directory == h.known:
		h.provedAt = proved
	}
	if !known && len(h.entries) > 0 {
		h.wake()
	}
}

// reported notes whether the usage reports of a heartbeat, if any, arrived.
func (h *heartbeat) reported(announce messenger.Announce, arrived bool) {
	switch {
	case announce.UsageSequence == 0:
	case arrived:
		h.usage.deliver(h.clock.Now(), announce.Usage)
	default:
		h.usage.fail()
	}
}

// wake has a heartbeat sent at once.
func (h *heartbeat) wake() {
	select {
	case h.changes <- struct{}{}:
	default:
	}
}

// homes returns the addresses to announce the host at: its home entries, and the
// addresses of the settings while it has heard of none or hears nothing.
func (h *heartbeat) homes() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var addresses []string
	for _, entry := range ChooseHomes(h.settings.Name, h.settings.DataCentre, h.entries, cmp.Or(h.settings.HomeEntries, 3)) {
		addresses = append(addresses, entry.Address)
	}
	if len(addresses) == 0 || h.homeless {
		addresses = append(addresses, h.settings.Entries...)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// note logs a change of whether any entry answers.
func (h *heartbeat) note() {
	h.mu.Lock()
	defer h.mu.Unlock()
	homeless := h.clock.Since(h.heardAt) > homelessAfter
	if h.homeless == homeless {
		return
	}
	h.homeless = homeless
	if homeless {
		h.logger.Warn("no entry answers heartbeats")
		return
	}
	h.logger.Info("an entry answers heartbeats")
}
