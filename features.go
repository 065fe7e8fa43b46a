package apricotwinch

import (
	"slices"
	"strings"
)

// Feature names an optional scheduling decision. The constants below are all its values.
type Feature string

const (
	// FeatureAdmission refuses workloads that can't end in time to help their callers.
	FeatureAdmission Feature = "admission"
	// FeatureLearnedDurations replaces declared durations with observed ones.
	FeatureLearnedDurations Feature = "learned-durations"
	// FeatureOrdering orders waiting work by slack, worth and the shares of callers.
	FeatureOrdering Feature = "ordering"
	// FeatureAdaptiveReserve sizes the processors kept free for urgent work by its arrivals.
	FeatureAdaptiveReserve Feature = "adaptive-reserve"
	// FeatureBackfill reserves room for tasks that fit nowhere.
	FeatureBackfill Feature = "backfill"
	// FeatureTailPriority throttles the last best-effort tasks of a step after others.
	FeatureTailPriority Feature = "tail-priority"
	// FeatureOutage refuses requests early while the store is away.
	FeatureOutage Feature = "outage"
)

// featureDefault is a feature and whether it is enabled by default.
type featureDefault struct {
	name      Feature
	byDefault bool
}

// features lists every feature. Those that change who is served, and when, are for deployments that ask
// for them.
var features = []featureDefault{
	{FeatureAdmission, false},
	{FeatureLearnedDurations, true},
	{FeatureOrdering, false},
	{FeatureAdaptiveReserve, false},
	{FeatureBackfill, false},
	{FeatureTailPriority, false},
	{FeatureOutage, true},
}

// AllFeatures returns every feature in a fixed order.
func AllFeatures() []Feature {
	var all []Feature
	for _, f := range features {
		all = append(all, f.name)
	}
	return all
}

// Features is a set of enabled features. The zero value has those that are enabled by default.
type Features struct {
	// changed holds what differs from the default.
	changed map[Feature]bool
}

// ParseFeatures returns the default features with those in the list enable and without those in the list
// disable; names are separated by commas. It fails with kind Invalid for an unknown name, and for one in
// both lists.
func ParseFeatures(enable, disable string) (Features, error) {
	f := Features{changed: map[Feature]bool{}}
	for _, list := range []struct {
		names   string
		enabled bool
	}{{enable, true}, {disable, false}} {
		for name := range strings.SplitSeq(list.names, ",") {
			feature := Feature(strings.TrimSpace(name))
			if feature == "" {
				continue
			}
			if !slices.Contains(AllFeatures(), feature) {
				return Features{}, Errorf(Invalid, "feature: %q is not one of %v", feature, AllFeatures())
			}
			if enabled, known := f.changed[feature]; known && enabled != list.enabled {
				return Features{}, Errorf(Invalid, "feature: %q is both enabled and disabled", feature)
			}
			f.changed[feature] = list.enabled
		}
	}
	return f, nil
}

// Enabled reports whether a feature is enabled.
func (f Features) Enabled(feature Feature) bool {
	if enabled, ok := f.changed[feature]; ok {
		return enabled
	}
	return slices.Contains(features, featureDefault{feature, true})
}

// List returns the enabled features in the order of AllFeatures.
func (f Features) List() []Feature {
	return slices.DeleteFunc(AllFeatures(), func(feature Feature) bool { return !f.Enabled(feature) })
}
