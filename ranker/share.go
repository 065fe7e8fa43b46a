package ranker

import (
	"maps"
	"slices"
)

// level is what groups of callers compete for.
type level struct {
	class    Class
	priority int
}

// markOverShare finds the workloads of groups that have had more than their share. A share is that of a group among those
// with waiting work of the same class and priority; one that is alone has no bound, so that no room is left idle.
func (r *Ranker) markOverShare(entries []entry) {
	shares := map[level]map[string]float64{}
	for i := range entries {
		c := entries[i].candidate
		if !c.Waits || c.Lasting || c.Group == "" {
			continue
		}
		at := level{c.Class, c.Priority}
		if shares[at] == nil {
			shares[at] = map[string]float64{}
		}
		shares[at][c.Group] = c.Share
	}
	means := map[level]float64{}
	for at, groups := range shares {
		sum := 0.0
		for _, group := range slices.Sorted(maps.Keys(groups)) {
			sum += groups[group]
		}
		means[at] = sum / float64(len(groups))
	}
	for i := range entries {
		e := &entries[i]
		c := e.candidate
		at := level{c.Class, c.Priority}
		if _, competes := shares[at][c.Group]; !competes || c.Lasting || len(shares[at]) < 2 {
			continue
		}
		bound := r.config.OverShare
		if c.Previous.OverShare {
			bound = 1
		}
		e.ranked.OverShare = c.Share > bound*means[at]
	}
}

// compareShares orders what is over its share behind what is not.
func compareShares(a, b *entry) int {
	switch {
	case a.ranked.OverShare == b.ranked.OverShare:
		return 0
	case b.ranked.OverShare:
		return -1
	}
	return 1
}
