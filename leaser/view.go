package leaser

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// view is the latest proof of what the settings say of the host's data centre.
type view struct {
	known    bool
	provedAt time.Time
	out      bool
}

// Announced takes an entry's answer to a heartbeat that was sent at sent: the
// proof of the settings view, and the owners of partitions.
func (l *Leaser) Announced(sent time.Time, reply messenger.AnnounceReply) {
	if reply.ViewAgeMillis >= 0 {
		l.prove(sent.Add(-time.Duration(reply.ViewAgeMillis)*time.Millisecond), reply.DataCentreOut)
	}
	for _, o := range reply.Owners {
		l.meet(o)
	}
}

// prove keeps the proof that is newest; at the same time, out wins.
func (l *Leaser) prove(provedAt time.Time, out bool) {
	if l.view.known && provedAt.Before(l.view.provedAt) {
		return
	}
	if l.view.known && provedAt.Equal(l.view.provedAt) {
		out = out || l.view.out
	}
	l.view = view{known: true, provedAt: provedAt, out: out}
}

// checkView returns an error unless an attempt may start in the data centre.
func (l *Leaser) checkView(now time.Time) error {
	if !l.view.known {
		return apricotwinch.Errorf(apricotwinch.StaleView, "no entry has proved its settings view")
	}
	if age := now.Sub(l.view.provedAt); age > l.settings.ViewLife {
		return apricotwinch.Errorf(apricotwinch.StaleView, "the settings view is %s old, over %s", age, l.settings.ViewLife)
	}
	if l.view.out {
		return apricotwinch.Errorf(apricotwinch.DataCentreOut, "the data centre is out of service")
	}
	return nil
}
