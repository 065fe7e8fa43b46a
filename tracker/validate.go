package tracker

import (
	"apricotwinch"
	"apricotwinch/messenger"
)

// field is one rule for a heartbeat: the field's name and whether it is broken.
type field struct {
	name   string
	broken func(a *messenger.Announce) bool
	rule   string
}

var fields = []field{
	{"host", func(a *messenger.Announce) bool { return a.Host == "" }, "is empty"},
	{"incarnation", func(a *messenger.Announce) bool { return a.Incarnation == "" }, "is empty"},
	{"address", func(a *messenger.Announce) bool { return a.Address == "" }, "is empty"},
	{"dataCentre", func(a *messenger.Announce) bool { return a.DataCentre == "" }, "is empty"},
	{"sequence", func(a *messenger.Announce) bool { return a.Sequence < 1 }, "is below 1"},
	{"usageSequence", func(a *messenger.Announce) bool { return a.UsageSequence < 0 || a.UsageSequence > a.Sequence }, "is not from 0 to the sequence"},
	{"capacity", func(a *messenger.Announce) bool { return resources(a.Capacity).Negative() }, "is negative"},
	{"committed", func(a *messenger.Announce) bool { return resources(a.Committed).Negative() }, "is negative"},
}

// serviceField is one rule for the summary of a service.
type serviceField struct {
	name  string
	value func(s *messenger.ServiceSummary) int
}

var serviceFields = []serviceField{
	{"slots", func(s *messenger.ServiceSummary) int { return s.Slots }},
	{"connections", func(s *messenger.ServiceSummary) int { return s.Connections }},
	{"busy", func(s *messenger.ServiceSummary) int { return s.Busy }},
	{"queued", func(s *messenger.ServiceSummary) int { return s.Queued }},
	{"latencyMicros", func(s *messenger.ServiceSummary) int { return s.LatencyMicros }},
	{"slowdownPermille", func(s *messenger.ServiceSummary) int { return s.SlowdownPermille }},
	{"lagMillis", func(s *messenger.ServiceSummary) int { return s.LagMillis }},
}

// validate returns an error of kind Invalid that names the first broken field.
func validate(a *messenger.Announce) error {
	for _, f := range fields {
		if f.broken(a) {
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

// usageField is one rule for a usage report.
type usageField struct {
	name   string
	broken func(u *messenger.TaskUsage) bool
}

var usageFields = []usageField{
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
	for _, f := range usageFields {
		if f.broken(&a.Usage[i]) {
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
	for _, f := range serviceFields {
		if f.value(s) < 0 {
			return apricotwinch.Errorf(apricotwinch.Invalid, "announce of host %q: services[%d].%s is negative", a.Host, i, f.name)
		}
	}
	for j := range i {
		if a.Services[j].Service == s.Service && a.Services[j].Team == s.Team {
			return apricotwinch.Errorf(apricotwinch.Invalid, "announce of host %q: services[%d].service %s/%s stands twice", a.Host, i, s.Team, s.Service)
		}
	}
	return nil
}
