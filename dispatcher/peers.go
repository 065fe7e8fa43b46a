package dispatcher

import (
	"context"
	"time"

	"apricotwinch"
	"apricotwinch/connector"
	"apricotwinch/messenger"
)

// digestPeriod is the interval at which an entry forwards the heartbeats that it
// received to its peers.
const digestPeriod = time.Second

// peerMethods returns the methods that agents and other entries call.
func (e *Entry) peerMethods() connector.Table {
	return connector.Table{
		messenger.MethodAnnounce: connector.Handle(e.handleAnnounce),
		messenger.MethodRenew:    connector.Handle(e.handleRenew),
		messenger.MethodForward:  connector.Handle(e.handleForward),
		messenger.MethodDigest:   connector.Handle(e.handleDigest),
	}
}

// handleAnnounce applies an agent's heartbeat and replies with the entry's view of the
// settings, the live entries and the owners of partitions.
func (e *Entry) handleAnnounce(_ context.Context, announce messenger.Announce) (messenger.AnnounceReply, error) {
	if err := e.fleet.observe(announce); err != nil {
		return messenger.AnnounceReply{}, err
	}
	age := e.settingsStream.age()
	view := e.settingsStream.current()
	entries, owners := e.ownership.directory()
	reply := messenger.AnnounceReply{
		Entry:         e.settings.Name,
		Incarnation:   e.incarnation,
		Revision:      int(view.Revision()),
		ViewAgeMillis: int((age + time.Millisecond - 1) / time.Millisecond),
		DataCentreOut: view.DataCentreOut(announce.DataCentre),
		Directory:     messenger.HashDirectory(entries, owners),
	}
	if announce.Directory != reply.Directory {
		reply.Entries = entries
		reply.Owners = owners
	}
	return reply, nil
}

// handleRenew grants leases for the attempts of a partition that the entry owns.
func (e *Entry) handleRenew(ctx context.Context, renew messenger.RenewRequest) (messenger.RenewReply, error) {
	p := e.ownership.partition(renew.Partition)
	if p == nil {
		e.count("renew.not_owner")
		return messenger.RenewReply{}, apricotwinch.Errorf(apricotwinch.NotOwner, "partition: %d is not owned here", renew.Partition)
	}
	return p.renew(context.WithoutCancel(ctx), renew)
}

// handleForward answers a request about jobs that a peer forwards.
func (e *Entry) handleForward(_ context.Context, request messenger.Forward) (messenger.ForwardReply, error) {
	p := e.ownership.partition(request.Partition)
	if p == nil {
		return messenger.ForwardReply{}, apricotwinch.Errorf(apricotwinch.NotOwner, "partition: %d is not owned here", request.Partition)
	}
	return p.forward(request)
}

// handleDigest applies the heartbeats that a peer received.
func (e *Entry) handleDigest(_ context.Context, digest messenger.Digest) (messenger.DigestReply, error) {
	if err := e.fleet.observeDigest(digest); err != nil {
		return messenger.DigestReply{}, err
	}
	return messenger.DigestReply{Entry: e.settings.Name}, nil
}

// sendDigests forwards the heartbeats that arrived here to the peers until ctx ends.
func (e *Entry) sendDigests(ctx context.Context) {
	ticker := e.clock.NewTicker(digestPeriod)
	defer ticker.Stop()
	since := e.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		now := e.clock.Now()
		digest := e.fleet.digest(since, e.settings.Name, e.incarnation)
		since = now
		e.sendDigest(ctx, digest)
	}
}

func (e *Entry) sendDigest(ctx context.Context, digest messenger.Digest) {
	if len(digest.Hosts) == 0 {
		return
	}
	entries, _ := e.ownership.directory()
	for _, peer := range entries {
		if peer.Entry == e.settings.Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, 2*digestPeriod)
			defer cancel()
			if err := e.pool.Call(ctx, peer.Address, messenger.MethodDigest, digest, &messenger.DigestReply{}); err != nil {
				e.count("digest.error." + string(apricotwinch.KindOf(err)))
			}
		}()
	}
}
