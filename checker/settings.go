package checker

import (
	"fmt"
	"sort"
)

// checkRevertedSettings finds processes that, asked after they had shown a newer revision,
// showed an older one.
func checkRevertedSettings(index *evidenceIndex) []string {
	observed := append([]Setting(nil), index.ObservedSettings...)
	sort.SliceStable(observed, func(i, j int) bool { return observed[i].At.Before(observed[j].At) })
	var found []string
	for i, later := range observed {
		newest := later
		for _, before := range observed[:i] {
			same := before.Process == later.Process && before.Path == later.Path
			if same && before.SeenAt.Before(later.At) && before.Revision > newest.Revision {
				newest = before
			}
		}
		if newest.Revision > later.Revision {
			found = append(found, fmt.Sprintf("%s at %s: revision %d shown at %s after revision %d at %s",
				later.Path, later.Process, later.Revision, formatTime(later.At), newest.Revision, formatTime(newest.SeenAt)))
		}
	}
	return found
}

// checkLateSettings finds observations that miss a setting accepted more than
// MaxSettingDelay before, or that show another value at its revision.
func checkLateSettings(index *evidenceIndex) []string {
	var found []string
	for _, accepted := range index.AcceptedSettings {
		for _, seen := range index.ObservedSettings {
			if seen.Path != accepted.Path {
				continue
			}
			if seen.Revision < accepted.Revision && seen.At.After(accepted.At.Add(MaxSettingDelay)) {
				found = append(found, fmt.Sprintf("%s at %s: revision %d shown at %s; revision %d was accepted at %s",
					seen.Path, seen.Process, seen.Revision, formatTime(seen.At), accepted.Revision, formatTime(accepted.At)))
			}
			if seen.Revision == accepted.Revision && seen.Value != accepted.Value {
				found = append(found, fmt.Sprintf("%s at %s: revision %d has value %s; the accepted value is %s",
					seen.Path, seen.Process, seen.Revision, seen.Value, accepted.Value))
			}
		}
	}
	return found
}
