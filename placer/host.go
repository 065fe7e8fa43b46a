package placer

import (
	"time"

	"apricotwinch"
)

// Eligibility says whether a host may get new tasks.
type Eligibility int

const (
	// Open hosts get tasks.
	Open Eligibility = iota
	// Trial hosts get one task and are closed after that.
	Trial
	// Closed hosts get no tasks.
	Closed
)

var eligibilityNames = map[Eligibility]string{Open: "open", Trial: "trial", Closed: "closed"}

// String returns the name of e.
func (e Eligibility) String() string { return eligibilityNames[e] }

// unreportedRelease is the amount that an ended attempt held and that the host's last
// summary still counts.
type unreportedRelease struct {
	amount apricotwinch.Resources
	at     time.Time
}

// host is what the placer knows about one host.
type host struct {
	name            string
	locality        apricotwinch.Locality
	capacity        apricotwinch.Resources
	committed       apricotwinch.Resources
	sampledAt       time.Time
	residents       []string
	reservations    []*placement
	reserved        apricotwinch.Resources
	unreported      []unreportedRelease
	unreportedTotal apricotwinch.Resources
	eligibility     Eligibility
	draining        bool
	blocked         bool
	blockedAt       time.Time
	hold            *hold
	dataCentre      *dataCentre
	leaf            int
}

// free returns the resources that are neither committed nor reserved. Releases since the
// last summary count as free.
func (h *host) free() apricotwinch.Resources {
	committed := componentMax(h.committed.Sub(h.unreportedTotal), apricotwinch.Resources{})
	return h.capacity.Sub(committed).Sub(h.reserved)
}

// addUnreported counts what an ended attempt held as free until a summary shows it.
func (h *host) addUnreported(amount apricotwinch.Resources, at time.Time) {
	h.unreported = append(h.unreported, unreportedRelease{amount: amount, at: at})
	h.unreportedTotal = h.unreportedTotal.Add(amount)
}

// dropReported drops the releases that a summary sampled at the given time already shows.
func (h *host) dropReported(sampledAt time.Time) {
	for len(h.unreported) > 0 && h.unreported[0].at.Before(sampledAt) {
		h.unreportedTotal = h.unreportedTotal.Sub(h.unreported[0].amount)
		h.unreported = h.unreported[1:]
	}
}

// accepts reports whether the host may get tasks.
func (h *host) accepts() bool { return !h.draining && h.eligibility != Closed }

// indexedRoom returns the free resources that the index records for the host.
func (h *host) indexedRoom() apricotwinch.Resources {
	if !h.accepts() || h.blocked || h.hold != nil {
		return noRoom
	}
	return h.free()
}

// neighbors returns the classes of the work on the host, including work that was placed
// since the last summary. It reuses buffer.
func (h *host) neighbors(buffer []string) []string {
	buffer = append(buffer[:0], h.residents...)
	for _, pl := range h.reservations {
		buffer = append(buffer, pl.class)
	}
	return buffer
}

// dataCentre holds the hosts of one data centre and an index of their free resources.
type dataCentre struct {
	locality   apricotwinch.Locality
	hosts      []*host
	freeLeaves []int
	hostCount  int
	out        bool
	index      index
}

func (d *dataCentre) add(h *host) {
	h.dataCentre = d
	d.hostCount++
	if last := len(d.freeLeaves) - 1; last >= 0 {
		h.leaf = d.freeLeaves[last]
		d.freeLeaves = d.freeLeaves[:last]
		d.hosts[h.leaf] = h
	} else {
		h.leaf = len(d.hosts)
		d.hosts = append(d.hosts, h)
	}
	d.index.set(h.leaf, h.indexedRoom())
}

func (d *dataCentre) remove(h *host) {
	d.hostCount--
	d.hosts[h.leaf] = nil
	d.freeLeaves = append(d.freeLeaves, h.leaf)
	d.index.set(h.leaf, noRoom)
}

func (d *dataCentre) refresh(h *host) { d.index.set(h.leaf, h.indexedRoom()) }

// dataCentreOf returns the locality of the data centre that contains l.
func dataCentreOf(l apricotwinch.Locality) apricotwinch.Locality {
	return apricotwinch.NewLocality(l.Region(), l.DataCentre(), "")
}
