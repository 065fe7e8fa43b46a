package dispatcher

import (
	"context"
	"time"

	"apricotwinch"
	"apricotwinch/connector"
	"apricotwinch/messenger"
)

// digestPeriod is the period in which entries pass on the heartbeats that they
// received.
const digestPeriod = time.Second

// table returns the methods that agents and other entries call.
func (e *Entry) table() connector.Table {
	return connector.Table{
		messenger.MethodAnnounce: connector.Handle(e.announce),
		messenger.MethodRenew:    connector.Handle(e.renew),
		messenger.MethodForward:  connector.Handle(e.forwarded),
		messenger.MethodDigest:   connector.Handle(e.digest),
	}
}

// announce takes an agent's heartbeat and answers with the entry's view.
func (e *Entry) announce(_ context.Context, announce messenger.Announce) (messenger.AnnounceReply, error) {
	if err := e.members.observe(announce); err != nil {
		return messenger.AnnounceReply{}, err
	}
	age := e.views.age()
	view := e.views.current()
	entries, owners := e.ownership.announced()
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

// renew grants leases for the attempts of a partition that the entry owns.
func (e *Entry) renew(ctx context.Context, renew messenger.Renew) (messenger.RenewReply, error) {
	p := e.ownership.partition(renew.Partition)
	if p == nil {
		e.count("renew.not_owner")
		return messenger.RenewReply{}, apricotwinch.Errorf(apricotwinch.NotOwner, "partition: %d is not owned here", renew.Partition)
	}
	return p.renew(context.WithoutCancel(ctx), renew)
}

// forwarded answers a job request that a peer passes on.
func (e *Entry) forwarded(_ context.Context, request messenger.Forward) (messenger.ForwardReply, error) {
	p := e.ownership.partition(request.Partition)
	if p == nil {
		return messenger.ForwardReply{}, apricotwinch.Errorf(apricotwinch.NotOwner, "partition: %d is not owned here", request.Partition)
	}
	return p.forward(request)
}

// digest takes the heartbeats that a peer received.
func (e *Entry) digest(_ context.Context, digest messenger.Digest) (messenger.DigestReply, error) {
	if err := e.members.observeDigest(digest); err != nil {
		return messenger.DigestReply{}, err
	}
	return messenger.DigestReply{Entry: e.settings.Name}, nil
}

// sendDigests passes on, until ctx ends, the heartbeats that arrived here.
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
		digest := e.members.digest(since, e.settings.Name, e.incarnation)
		since = now
		e.sendDigest(ctx, digest)
	}
}

func (e *Entry) sendDigest(ctx context.Context, digest messenger.Digest) {
	if len(digest.Hosts) == 0 {
		return
	}
	entries, _ := e.ownership.announced()
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
