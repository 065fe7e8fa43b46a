package observer

import "apricotwinch"

// probe counts the running tasks of a class and the reports of critical work
// beside them.
type probe struct {
	running int
	reports int
}

func (o *Observer) probe(class string) *probe {
	p := o.batch[class]
	if p == nil {
		if len(o.batch) >= o.config.MaxPairs {
			o.batch = map[string]*probe{}
		}
		p = &probe{}
		o.batch[class] = p
	}
	return p
}

// leave counts a resident that no longer runs.
func (o *Observer) leave(s *stay) {
	if s.urgency == apricotwinch.Batch && s.until.IsZero() {
		p := o.probe(s.class)
		p.running = max(0, p.running-1)
	}
}

// countReport counts a report of critical work for the classes beside it.
func (o *Observer) countReport(neighbors []string) {
	for _, class := range neighbors {
		if p := o.batch[class]; p != nil {
			p.reports++
		}
	}
}
