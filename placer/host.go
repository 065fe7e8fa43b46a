package placer

import (
	"time"

	"apricotwinch"
)

// Standing is whether a host may get new tasks.
type Standing int

const (
	// Open hosts get tasks.
	Open Standing = iota
	// Trial hosts get one task and are closed after that.
	Trial
	// Closed hosts get no task.
	Closed
)

var standingNames = map[Standing]string{Open: "open", Trial: "trial", Closed: "closed"}

// String returns the name of s.
func (s Standing) String() string { return standingNames[s] }

// credit is what an attempt held that ended after its host was last sampled.
type credit struct {
	amount apricotwinch.Resources
	at     time.Time
}

// host is what the table knows of one host.
type host struct {
	name      string
	locality  apricotwinch.Locality
	capacity  apricotwinch.Resources
	committed apricotwinch.Resources
	sampledAt time.Time
	residents []string
	pending   []*placement
	reserved  apricotwinch.Resources
	credits   []credit
	credited  apricotwinch.Resources
	standing  Standing
	draining  bool
	blocked   bool
	blockedAt time.Time
	hold      *hold
	place     *dataCentre
	leaf      int
}

// free returns what is neither committed nor reserved, with what was given back
// since the last summary.
func (h *host) free() apricotwinch.Resources {
	committed := greatest(h.committed.Sub(h.credited), apricotwinch.Resources{})
	return h.capacity.Sub(committed).Sub(h.reserved)
}

// giveBack credits what an attempt held until a summary shows it.
func (h *host) giveBack(amount apricotwinch.Resources, at time.Time) {
	h.credits = append(h.credits, credit{amount: amount, at: at})
	h.credited = h.credited.Add(amount)
}

// settle drops the credits that a summary sampled at the given time shows.
func (h *host) settle(sampledAt time.Time) {
	for len(h.credits) > 0 && h.credits[0].at.Before(sampledAt) {
		h.credited = h.credited.Sub(h.credits[0].amount)
		h.credits = h.credits[1:]
	}
}

// accepts reports whether the host may get a task.
func (h *host) accepts() bool { return !h.draining && h.standing != Closed }

// offered returns what the index holds for the host.
func (h *host) offered() apricotwinch.Resources {
	if !h.accepts() || h.blocked || h.hold != nil {
		return nothing
	}
	return h.free()
}

// neighbors returns the classes on the host, with those placed since its last
// summary.
func (h *host) neighbors(buffer []string) []string {
	buffer = append(buffer[:0], h.residents...)
	for _, pl := range h.pending {
		buffer = append(buffer, pl.class)
	}
	return buffer
}

// dataCentre holds the hosts of one data centre and an index of their room.
type dataCentre struct {
	locality apricotwinch.Locality
	hosts    []*host
	vacant   []int
	count    int
	out      bool
	index    index
}

func (d *dataCentre) add(h *host) {
	h.place = d
	d.count++
	if last := len(d.vacant) - 1; last >= 0 {
		h.leaf = d.vacant[last]
		d.vacant = d.vacant[:last]
		d.hosts[h.leaf] = h
	} else {
		h.leaf = len(d.hosts)
		d.hosts = append(d.hosts, h)
	}
	d.index.set(h.leaf, h.offered())
}

func (d *dataCentre) remove(h *host) {
	d.count--
	d.hosts[h.leaf] = nil
	d.vacant = append(d.vacant, h.leaf)
	d.index.set(h.leaf, nothing)
}

func (d *dataCentre) refresh(h *host) { d.index.set(h.leaf, h.offered()) }

// dataCentreOf returns the locality of the data centre around l.
func dataCentreOf(l apricotwinch.Locality) apricotwinch.Locality {
	return apricotwinch.NewLocality(l.Region(), l.DataCentre(), "")
}
