package checker

import (
	"fmt"
	"sort"
)

// checkReverted finds processes that showed an older revision when they were
// asked after they had shown a newer one.
func checkReverted(f *facts) []string {
	observed := append([]Setting(nil), f.Observed...)
	sort.SliceStable(observed, func(i, j int) bool { return observed[i].At.Before(observed[j].At) })
	var found []string
	for i, later := range observed {
		newest := later
		for _, before := range observed[:i] {
			same := before.Place == later.Place && before.Path == later.Path
			if same && before.SeenAt.Before(later.At) && before.Revision > newest.Revision {
				newest = before
			}
		}
		if newest.Revision > later.Revision {
			found = append(found, fmt.Sprintf("%s at %s: revision %d at %s after %d at %s",
				later.Path, later.Place, later.Revision, stamp(later.At), newest.Revision, stamp(newest.SeenAt)))
		}
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
