package tracker

import (
	"apricotwinch"
	"apricotwinch/messenger"
)

// fieldRule is a validation rule for a heartbeat: the name of the field, whether a
// heartbeat violates the rule, and the text of the error.
type fieldRule struct {
	name     string
	violated func(a *messenger.Announce) bool
	rule     string
}

var fieldRules = []fieldRule{
	{"host", func(a *messenger.Announce) bool { return a.Host == "" }, "is empty"},
	{"incarnation", func(a *messenger.Announce) bool { return a.Incarnation == "" }, "is empty"},
	{"address", func(a *messenger.Announce) bool { return a.Address == "" }, "is empty"},
	{"dataCentre", func(a *messenger.Announce) bool { return a.DataCentre == "" }, "is empty"},
	{"sequence", func(a *messenger.Announce) bool { return a.Sequence < 1 }, "is below 1"},
	{"usageSequence", func(a *messenger.Announce) bool { return a.UsageSequence < 0 || a.UsageSequence > a.Sequence }, "is not between 0 and the sequence"},
	{"capacity", func(a *messenger.Announce) bool { return resources(a.Capacity).Negative() }, "is negative"},
	{"committed", func(a *messenger.Announce) bool { return resources(a.Committed).Negative() }, "is negative"},
}

// serviceFieldRule names a field of a service summary that must not be negative.
type serviceFieldRule struct {
	name  string
	value func(s *messenger.ServiceSummary) int
}

var serviceFieldRules = []serviceFieldRule{
	{"slots", func(s *messenger.ServiceSummary) int { return s.Slots }},
	{"connections", func(s *messenger.ServiceSummary) int { return s.Connections }},
	{"busy", func(s *messenger.ServiceSummary) int { return s.Busy }},
	{"queued", func(s *messenger.ServiceSummary) int { return s.Queued }},
	{"latencyMicros", func(s *messenger.ServiceSummary) int { return s.LatencyMicros }},
	{"slowdownPermille", func(s *messenger.ServiceSummary) int { return s.SlowdownPermille }},
	{"lagMillis", func(s *messenger.ServiceSummary) int { return s.LagMillis }},
}

// validate returns an error of kind Invalid that names the first malformed field.
func validate(a *messenger.Announce) error {
	for _, f := range fieldRules {
		if f.violated(a) {
			return apricotwinch.Errorf(apricotwinch.Invalid, "announce of host %q: %s %s", a.Host, f.name, f.rule)
		}
	}
	for i := range a.Services {
		if err := validateService(a, i); err != nil {
			return err
		}
	}
	for i := range a.Usage {
		if err := validateUsage(a, i); err != nil {
			return err
		}
	}
	return nil
}

// usageFieldRule is a validation rule for a usage report.
type usageFieldRule struct {
	name     string
	violated func(u *messenger.TaskUsage) bool
}

var usageFieldRules = []usageFieldRule{
	{"job", func(u *messenger.TaskUsage) bool { return u.Job == "" }},
	{"task", func(u *messenger.TaskUsage) bool { return u.Task < 0 }},
	{"attempt", func(u *messenger.TaskUsage) bool { return u.Attempt < 1 }},
	{"team", func(u *messenger.TaskUsage) bool { return u.Team == "" }},
	{"used", func(u *messenger.TaskUsage) bool { return resources(u.Used).Negative() }},
	{"granted", func(u *messenger.TaskUsage) bool { return resources(u.Granted).Negative() }},
	{"slowdownPermille", func(u *messenger.TaskUsage) bool { return u.SlowdownPermille < 0 }},
	{"lagMillis", func(u *messenger.TaskUsage) bool { return u.LagMillis < 0 }},
	{"urgency", func(u *messenger.TaskUsage) bool { _, err := apricotwinch.ParseUrgency(u.Urgency); return err != nil }},
}

func validateUsage(a *messenger.Announce, i int) error {
	for _, f := range usageFieldRules {
		if f.violated(&a.Usage[i]) {
			return apricotwinch.Errorf(apricotwinch.Invalid, "announce of host %q: usage[%d].%s is malformed", a.Host, i, f.name)
		}
	}
	return nil
}

func validateService(a *messenger.Announce, i int) error {
	s := &a.Services[i]
	if s.Service == "" {
		return apricotwinch.Errorf(apricotwinch.Invalid, "announce of host %q: services[%d].service is empty", a.Host, i)
	}
	for _, f := range serviceFieldRules {
		if f.value(s) < 0 {
			return apricotwinch.Errorf(apricotwinch.Invalid, "announce of host %q: services[%d].%s is negative", a.Host, i, f.name)
		}
	}
	for j := range i {
		if a.Services[j].Service == s.Service && a.Services[j].Team == s.Team {
			return apricotwinch.Errorf(apricotwinch.Invalid, "announce of host %q: services[%d].service %s/%s is listed twice", a.Host, i, s.Team, s.Service)
		}
	}
	return nil
}
