package tracker

import "fmt"

// ChangeKind is what happened to a host.
type ChangeKind int

const (
	// Joined is a host that was unknown or gone and announced itself.
	Joined ChangeKind = iota
	// Updated is a heartbeat that changed no state.
	Updated
	// BecameSuspected is a host whose heartbeats stopped for a few periods.
	BecameSuspected
	// Recovered is a suspected or draining host that is alive again.
	Recovered
	// BecameDraining is a host that announced that it is leaving.
	BecameDraining
	// Left is a host that is gone.
	Left
	// Replaced is a host whose agent announced a new incarnation.
	Replaced
	// Reported is a heartbeat no newer than the latest of its incarnation that
	// brought newer usage reports; a peer passed it on.
	Reported
	// IgnoredSequence is a heartbeat no newer than the latest of its incarnation.
	IgnoredSequence
	// IgnoredIncarnation is a heartbeat of an incarnation that was replaced.
	IgnoredIncarnation
	// IgnoredAge is a heartbeat so old that its host counts as gone.
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
	Reported:           "reported",
	IgnoredSequence:    "ignored_sequence",
	IgnoredIncarnation: "ignored_incarnation",
	IgnoredAge:         "ignored_age",
}

// String returns the name of k.
func (k ChangeKind) String() string { return changeNames[k] }

// Counter returns the name of the counter that counts changes of this kind.
func (k ChangeKind) Counter() string { return "tracker." + changeNames[k] }

// Ignored reports whether k is a heartbeat that changed nothing.
func (k ChangeKind) Ignored() bool { return k >= IgnoredSequence }

// Change is one event in the life of a host.
type Change struct {
	kind     ChangeKind
	host     Host
	previous string
}

// Kind returns what happened.
func (c Change) Kind() ChangeKind { return c.kind }

// Host returns the host after the change.
func (c Change) Host() Host { return c.host }

// PreviousIncarnation returns the incarnation that a Replaced change ended.
func (c Change) PreviousIncarnation() string { return c.previous }

// String returns the change in a form for logs.
func (c Change) String() string {
	return fmt.Sprintf("%s %s/%s#%d %s", c.kind, c.host.Name(), c.host.Incarnation(), c.host.Sequence(), c.host.State())
}
