package placer

import "apricotwinch"

// spread counts the tasks of each job by rack and by data centre; a data centre
// is a locality without a rack.
type spread map[string]map[apricotwinch.Locality]int

func (s spread) add(job string, at apricotwinch.Locality) {
	counts := s[job]
	if counts == nil {
		counts = make(map[apricotwinch.Locality]int, 2)
		s[job] = counts
	}
	counts[at]++
	counts[dataCentreOf(at)]++
}

func (s spread) remove(job string, at apricotwinch.Locality) {
	counts := s[job]
	for _, place := range [...]apricotwinch.Locality{at, dataCentreOf(at)} {
		counts[place]--
		if counts[place] <= 0 {
			delete(counts, place)
		}
	}
	if len(counts) == 0 {
		delete(s, job)
	}
}
