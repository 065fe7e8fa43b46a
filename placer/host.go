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
	standing  Standing
	draining  bool
	blocked   bool
	blockedTo time.Time
	place     *dataCentre
	leaf      int
}

// free returns what is neither committed nor reserved.
func (h *host) free() apricotwinch.Resources {
	return h.capacity.Sub(h.committed).Sub(h.reserved)
}

// accepts reports whether the host may get a task.
func (h *host) accepts() bool { return !h.draining && h.standing != Closed }

// offered returns what the index holds for the host.
func (h *host) offered() apricotwinch.Resources {
	if !h.accepts() || h.blocked {
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
