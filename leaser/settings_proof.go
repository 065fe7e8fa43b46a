package leaser

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// settingsProof is the newest known state of the host's data centre in the settings, and the time at
// which an entry's settings view proved it.
type settingsProof struct {
	known    bool
	provedAt time.Time
	out      bool
}

// HandleAnnounceReply processes an entry's reply to a heartbeat that was sent at sent. The reply
// contains the age of the entry's settings view, the state of the data centre, and the owners of
// partitions.
func (l *Leaser) HandleAnnounceReply(sent time.Time, reply messenger.AnnounceReply) {
	if reply.ViewAgeMillis >= 0 {
		l.updateProof(sent.Add(-time.Duration(reply.ViewAgeMillis)*time.Millisecond), reply.DataCentreOut)
	}
	for _, o := range reply.Owners {
		l.updateOwner(o)
	}
}

// updateProof replaces the proof if the new one isn't older. Of two proofs of the same time, the one
// that says out of service takes precedence.
func (l *Leaser) updateProof(provedAt time.Time, out bool) {
	if l.proof.known && provedAt.Before(l.proof.provedAt) {
		return
	}
	if l.proof.known && provedAt.Equal(l.proof.provedAt) {
		out = out || l.proof.out
	}
	l.proof = settingsProof{known: true, provedAt: provedAt, out: out}
}

// checkDataCentre returns an error unless a recent proof shows the data centre in service.
func (l *Leaser) checkDataCentre(now time.Time) error {
	if !l.proof.known {
		return apricotwinch.Errorf(apricotwinch.StaleView, "no entry has sent the state of the data centre yet")
	}
	if age := now.Sub(l.proof.provedAt); age > l.settings.MaxViewAge {
		return apricotwinch.Errorf(apricotwinch.StaleView, "the settings view is %s old, the limit is %s", age, l.settings.MaxViewAge)
	}
	if l.proof.out {
		return apricotwinch.Errorf(apricotwinch.DataCentreOut, "the data centre is out of service")
	}
	return nil
}
