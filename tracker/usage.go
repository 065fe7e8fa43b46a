package tracker

import (
	"slices"
	"time"

	"apricotwinch/messenger"
)

// usage holds the latest usage reports of a host. An agent sends them to one of its
// home entries, which forwards them to the other entries in its digests.
type usage struct {
	incarnation string
	sequence    int
	reports     []messenger.TaskUsage
	received    time.Time
	direct      bool
}

// usageFrom returns the usage reports in the heartbeat of h.
func usageFrom(h Host) usage {
	return usage{
		incarnation: h.Incarnation(),
		sequence:    h.announce.UsageSequence,
		reports:     h.announce.Usage,
		received:    h.received,
		direct:      h.direct,
	}
}

// mergeUsage sets the usage reports of h to those in its heartbeat if they are newer
// than the known ones, and to the known ones otherwise.
func (h *Host) mergeUsage(known usage) {
	if incoming := usageFrom(*h); incoming.newerThan(known) {
		h.usage = incoming
		return
	}
	h.usage = known
}

// newerThan reports whether u holds reports, and they are of another incarnation than
// those of other or have a higher sequence.
func (u usage) newerThan(other usage) bool {
	return u.sequence > 0 && (u.incarnation != other.incarnation || u.sequence > other.sequence)
}

// announceForPeers returns the heartbeat of h for a digest. It includes the usage
// reports only if the agent sent them directly to this entry after since.
func (h Host) announceForPeers(since time.Time) messenger.Announce {
	announce := h.announce
	announce.Usage, announce.UsageSequence = nil, 0
	if !h.usage.direct || h.usage.incarnation != h.Incarnation() || !h.usage.received.After(since) {
		return announce
	}
	age := int(h.received.Sub(h.usage.received).Milliseconds())
	announce.UsageSequence = h.usage.sequence
	announce.Usage = slices.Clone(h.usage.reports)
	for i := range announce.Usage {
		announce.Usage[i].LagMillis += age
	}
	return announce
}
