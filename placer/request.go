package placer

import (
	"slices"

	"apricotwinch"
)

// Request asks for a host for one attempt.
type Request struct {
	attempt apricotwinch.AttemptID
	class   string
	need    apricotwinch.Resources
	avoid   []string
}

// NewRequest returns a request for attempt. The class identifies the kind of work to the
// interference penalty; need is the corrected size of the task.
func NewRequest(attempt apricotwinch.AttemptID, class string, need apricotwinch.Resources) Request {
	return Request{attempt: attempt, class: class, need: need}
}

// Avoiding returns a copy of r that avoids the hosts on which earlier attempts failed.
func (r Request) Avoiding(hosts ...string) Request {
	r.avoid = hosts
	return r
}

// Attempt returns the id of the attempt.
func (r Request) Attempt() apricotwinch.AttemptID { return r.attempt }

// Class returns the class of the work.
func (r Request) Class() string { return r.class }

// Need returns the resources that the task needs.
func (r Request) Need() apricotwinch.Resources { return r.need }

// Avoid returns the hosts to avoid.
func (r Request) Avoid() []string { return r.avoid }

func (r Request) avoids(host string) bool { return slices.Contains(r.avoid, host) }
