package tracker

import (
	"slices"
	"time"

	"apricotwinch/messenger"
)

// usage is the latest usage reports of a host. An agent sends them to one of its
// home entries, whose digests carry them to the others.
type usage struct {
	incarnation string
	sequence    int
	reports     []messenger.TaskUsage
	received    time.Time
	direct      bool
}

// usageOf returns the usage reports that came with the heartbeat of h.
func usageOf(h Host) usage {
	return usage{
		incarnation: h.Incarnation(),
		sequence:    h.announce.UsageSequence,
		reports:     h.announce.Usage,
		received:    h.received,
		direct:      h.direct,
	}
}

// takeUsage gives h the usage reports that came with it, or those known before
// when it brought none that are newer.
func (h *Host) takeUsage(before usage) {
	if came := usageOf(*h); came.newer(before) {
		h.usage = came
		return
	}
	h.usage = before
}

func (u usage) newer(than usage) bool {
	return u.sequence > 0 && (u.incarnation != than.incarnation || u.sequence > than.sequence)
}

// passOn returns the heartbeat of h for a digest, with the usage reports that the
// agent sent here after since.
func (h Host) passOn(since time.Time) messenger.Announce {
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
