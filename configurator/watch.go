package configurator

import (
	"apricotwinch"
	"apricotwinch/messenger"
)

// Watch holds the settings of one watch service of a team: a number of tasks that are kept running.
type Watch struct {
	team      string
	name      string
	urgency   apricotwinch.Urgency
	count     int
	resources apricotwinch.Resources
	payload   []byte
}

type watchJSON struct {
	Urgency   string        `json:"urgency"`
	Count     int           `json:"count"`
	Resources resourcesJSON `json:"resources"`
	Payload   []byte        `json:"payload"`
}

func newWatch(p path, wire watchJSON) Watch {
	urgency, _ := apricotwinch.ParseUrgency(wire.Urgency) // The schema allows only valid names.
	return Watch{
		team:      p.team(),
		name:      p.name(),
		urgency:   urgency,
		count:     wire.Count,
		resources: wire.Resources.resources(),
		payload:   wire.Payload,
	}
}

// Team returns the team that owns the watch service.
func (w Watch) Team() string { return w.team }

// Name returns the name of the watch service.
func (w Watch) Name() string { return w.name }

// Urgency returns the urgency of the tasks.
func (w Watch) Urgency() apricotwinch.Urgency { return w.urgency }

// Count returns the number of tasks that should run at once.
func (w Watch) Count() int { return w.count }

// Resources returns the resources that each task needs.
func (w Watch) Resources() apricotwinch.Resources { return w.resources }

// Spec returns the specification of the job that runs the watch service.
func (w Watch) Spec() messenger.JobSpec {
	return messenger.JobSpec{
		Name:    w.name,
		Kind:    messenger.JobWatch,
		Urgency: w.urgency.String(),
		Tasks:   w.count,
		Resources: messenger.Resources{
			ProcessorMillis: int(w.resources.ProcessorMillis()),
			MemoryBytes:     int(w.resources.MemoryBytes()),
			Accelerators:    int(w.resources.Accelerators()),
		},
		Payload: append([]byte(nil), w.payload...),
	}
}
