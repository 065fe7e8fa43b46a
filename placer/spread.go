package placer

import "apricotwinch"

// place is a host, a rack or a data centre; what is wider has the narrower
// names empty.
type place struct {
	locality apricotwinch.Locality
	host     string
}

// places returns the host, rack and data centre of a host.
func (h *host) places() [3]place {
	return [...]place{
		{locality: h.locality, host: h.name},
		{locality: h.locality},
		{locality: dataCentreOf(h.locality)},
	}
}

// spread counts the tasks of each job by place.
type spread map[string]map[place]int

func (s spread) add(job string, h *host) {
	counts := s[job]
	if counts == nil {
		counts = make(map[place]int, len(h.places()))
		s[job] = counts
	}
	for _, at := range h.places() {
		counts[at]++
	}
}

func (s spread) remove(job string, h *host) {
	counts := s[job]
	for _, at := range h.places() {
		counts[at]--
		if counts[at] <= 0 {
			delete(counts, at)
		}
	}
	if len(counts) == 0 {
		delete(s, job)
	}
}
