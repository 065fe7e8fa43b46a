package placer

import "apricotwinch"

// failureDomain is a host, a rack or a data centre. A rack has no host name, and a data
// centre no rack name either.
type failureDomain struct {
	locality apricotwinch.Locality
	host     string
}

// failureDomains returns the host itself, its rack and its data centre.
func (h *host) failureDomains() [3]failureDomain {
	return [...]failureDomain{
		{locality: h.locality, host: h.name},
		{locality: h.locality},
		{locality: dataCentreOf(h.locality)},
	}
}

// spread counts the tasks of each job by failure domain.
type spread map[string]map[failureDomain]int

func (s spread) add(job string, h *host) {
	counts := s[job]
	if counts == nil {
		counts = make(map[failureDomain]int, len(h.failureDomains()))
		s[job] = counts
	}
	for _, domain := range h.failureDomains() {
		counts[domain]++
	}
}

func (s spread) remove(job string, h *host) {
	counts := s[job]
	for _, domain := range h.failureDomains() {
		counts[domain]--
		if counts[domain] <= 0 {
			delete(counts, domain)
		}
	}
	if len(counts) == 0 {
		delete(s, job)
	}
}
