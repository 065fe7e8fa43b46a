package observer

import "apricotwinch"

// probe holds the number of running tasks of a class and the number of reports of
// critical work beside them.
type probe struct {
	running int
	reports int
}

// probe returns the probe of a class and adds one for a new class. It forgets all
// probes when there are too many.
func (o *Observer) probe(class string) *probe {
	p := o.probes[class]
	if p == nil {
		if len(o.probes) >= o.config.MaxPairs {
			o.probes = map[string]*probe{}
		}
		p = &probe{}
		o.probes[class] = p
	}
	return p
}

// countDeparture removes a present batch resident from the running tasks of its class.
func (o *Observer) countDeparture(s *residency) {
	if s.urgency == apricotwinch.Batch && s.until.IsZero() {
		p := o.probe(s.class)
		p.running = max(0, p.running-1)
	}
}

// countProbeReport adds a report of critical work to the probes of the classes beside it.
func (o *Observer) countProbeReport(neighbors []string) {
	for _, class := range neighbors {
		if p := o.probes[class]; p != nil {
			p.reports++
		}
	}
}
