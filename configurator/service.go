package configurator

import (
	"time"

	"apricotwinch"
)

// Service holds the settings of one service of a team.
type Service struct {
	team        string
	name        string
	urgency     apricotwinch.Urgency
	timeout     time.Duration
	maxAttempts int
	dataCentres []string
}

type serviceJSON struct {
	Urgency       string   `json:"urgency"`
	TimeoutMillis int64    `json:"timeoutMillis"`
	MaxAttempts   int      `json:"maxAttempts"`
	DataCentres   []string `json:"dataCentres"`
}

func newService(p path, wire serviceJSON) Service {
	urgency, _ := apricotwinch.ParseUrgency(wire.Urgency) // The schema allows only valid names.
	return Service{
		team:        p.team(),
		name:        p.name(),
		urgency:     urgency,
		timeout:     time.Duration(wire.TimeoutMillis) * time.Millisecond,
		maxAttempts: wire.MaxAttempts,
		dataCentres: wire.DataCentres,
	}
}

// Team returns the team that owns the service.
func (s Service) Team() string { return s.team }

// Name returns the name of the service.
func (s Service) Name() string { return s.name }

// Urgency returns the default urgency, for requests that do not specify one.
func (s Service) Urgency() apricotwinch.Urgency { return s.urgency }

// Timeout returns the default timeout, for requests that do not specify a deadline.
func (s Service) Timeout() time.Duration { return s.timeout }

// MaxAttempts returns the greatest number of attempts of a request, or 0 for the default.
func (s Service) MaxAttempts() int { return s.maxAttempts }

// DataCentres returns the names of the data centres that may serve requests. Empty means all.
func (s Service) DataCentres() []string { return append([]string(nil), s.dataCentres...) }
