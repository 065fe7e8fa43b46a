package checker

import (
	"fmt"
	"sort"
)

// place names one subtree at one process.
type place struct {
	process string
	path    string
}

// checkReverted finds processes that showed an older revision after a newer one.
func checkReverted(f *facts) []string {
	observed := append([]Setting(nil), f.Observed...)
	sort.SliceStable(observed, func(i, j int) bool { return observed[i].At.Before(observed[j].At) })
	newest := make(map[place]Setting)
	var found []string
	for _, seen := range observed {
		at := place{process: seen.Place, path: seen.Path}
		before, ok := newest[at]
		if ok && seen.Revision < before.Revision {
			found = append(found, fmt.Sprintf("%s at %s: revision %d at %s after %d at %s",
				seen.Path, seen.Place, seen.Revision, stamp(seen.At), before.Revision, stamp(before.At)))
			continue
		}
		newest[at] = seen
	}
	return found
}

// checkLate finds observations that miss a setting accepted long before, or show
// another value at its revision.
func checkLate(f *facts) []string {
	var found []string
	for _, accepted := range f.Accepted {
		for _, seen := range f.Observed {
			if seen.Path != accepted.Path {
				continue
			}
			if seen.Revision < accepted.Revision && seen.At.After(accepted.At.Add(SettingsBound)) {
				found = append(found, fmt.Sprintf("%s at %s: revision %d at %s; %d was accepted at %s",
					seen.Path, seen.Place, seen.Revision, stamp(seen.At), accepted.Revision, stamp(accepted.At)))
			}
			if seen.Revision == accepted.Revision && seen.Value != accepted.Value {
				found = append(found, fmt.Sprintf("%s at %s: revision %d is %s; accepted was %s",
					seen.Path, seen.Place, seen.Revision, seen.Value, accepted.Value))
			}
		}
	}
	return found
}
