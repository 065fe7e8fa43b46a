package tracker

import "fmt"

// ChangeKind is what happened to a host.
type ChangeKind int

const (
	// Joined reports a heartbeat of a host that was unknown or gone.
	Joined ChangeKind = iota
	// Updated reports a heartbeat that left the state of the host unchanged.
	Updated
	// BecameSuspected reports that a host sent no heartbeat for a few periods.
	BecameSuspected
	// Recovered reports that a suspected or draining host is alive again.
	Recovered
	// BecameDraining reports that a host announced that it is leaving.
	BecameDraining
	// Left reports that a host is gone.
	Left
	// Replaced reports that a host's agent announced a new incarnation.
	Replaced
	// UsageUpdated reports a heartbeat from a peer's digest that is no newer than the
	// latest of its incarnation but carries newer usage reports.
	UsageUpdated
	// IgnoredSequence reports a heartbeat no newer than the latest of its
	// incarnation.
	IgnoredSequence
	// IgnoredIncarnation reports a heartbeat of an incarnation that was replaced.
	IgnoredIncarnation
	// IgnoredAge reports a heartbeat so old that its host would count as gone.
	IgnoredAge
)

var changeNames = map[ChangeKind]string{
	Joined:             "joined",
	Updated:            "updated",
	BecameSuspected:    "suspected",
	Recovered:          "recovered",
	BecameDraining:     "draining",
	Left:               "left",
	Replaced:           "replaced",
	UsageUpdated:       "reported",
	IgnoredSequence:    "ignored_sequence",
	IgnoredIncarnation: "ignored_incarnation",
	IgnoredAge:         "ignored_age",
}

// String returns the name of k.
func (k ChangeKind) String() string { return changeNames[k] }

// Counter returns the name of the counter that counts changes of this kind.
func (k ChangeKind) Counter() string { return "tracker." + changeNames[k] }

// Ignored reports whether k stands for a heartbeat that changed nothing.
func (k ChangeKind) Ignored() bool { return k >= IgnoredSequence }

// Change is one event in a host's membership.
type Change struct {
	kind     ChangeKind
	host     Host
	previous string
}

// Kind returns what happened.
func (c Change) Kind() ChangeKind { return c.kind }

// Host returns the host after the change.
func (c Change) Host() Host { return c.host }

// PreviousIncarnation returns the incarnation that was replaced, for a Replaced change
// or a Joined change with another incarnation.
func (c Change) PreviousIncarnation() string { return c.previous }

// String returns the kind, host name, incarnation, sequence and state, for logs.
func (c Change) String() string {
	return fmt.Sprintf("%s %s/%s#%d %s", c.kind, c.host.Name(), c.host.Incarnation(), c.host.Sequence(), c.host.State())
}
