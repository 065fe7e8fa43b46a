package apricotwinch

import "fmt"

// Urgency is the urgency class of work; work of a higher class is served first.
type Urgency int

const (
	// Batch work may wait.
	Batch Urgency = iota
	// Standard work is interactive but may be shed before critical work.
	Standard
	// Critical work is latency-critical.
	Critical
)

var urgencyNames = map[Urgency]string{
	Batch:    "batch",
	Standard: "standard",
	Critical: "critical",
}

// String returns the name of u, "" if u is not one of the constants.
func (u Urgency) String() string { return urgencyNames[u] }

// ParseUrgency returns the urgency called name, or an error of kind Invalid if there is none.
func ParseUrgency(name string) (Urgency, error) {
	for _, u := range []Urgency{Batch, Standard, Critical} {
		if urgencyNames[u] == name {
			return u, nil
		}
	}
	return Batch, Errorf(Invalid, "urgency: %q is not one of %s, %s, %s", name, Batch, Standard, Critical)
}

// GoString returns u in the form Urgency(name).
func (u Urgency) GoString() string { return fmt.Sprintf("Urgency(%s)", u) }
