package custodian

import (
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// Announcement is what an executor tells of itself.
type Announcement struct {
	ID         string
	Born       int
	Sequence   int
	Service    string
	Address    string
	DataCentre string
	Capacity   apricotwinch.Resources
	Labels     []string
	Draining   bool
	Remaining  time.Duration
	// Clock is the executor's own clock.
	Clock time.Duration
}

// Answer is an executor's answer to a call.
type Answer struct {
	// Clock is the executor's own clock; 0 for unknown.
	Clock time.Duration
	// Born is the Unix time of the executor's start, in milliseconds; 0 for unknown.
	Born int
}

// Holding is an executor's answer to a hold: all that it runs and has ended.
type Holding struct {
	Answer
	Runs []messenger.RunState
	Ends []messenger.RunEnd
}

// HoldCall renews the leases of an executor and asks what it holds.
type HoldCall struct {
	Executor string
	Address  string
	Token    int64
	// Seen is the last end that is durable, told once; 0 for nothing new.
	Seen int
	// Deadline is the end of the leases on the executor's own clock; 0 for none.
	Deadline time.Duration
	// Wait is how long the executor waits for an end before it answers.
	Wait time.Duration
}

// StartCall starts a run.
type StartCall struct {
	Executor string
	Address  string
	Token    int64
	Deadline time.Duration
	Order    messenger.RunOrder
}

// RunCall stops a run, or lets it work at a share of its speed.
type RunCall struct {
	Executor string
	Address  string
	Token    int64
	Run      messenger.RunRef
	Percent  int
}

// executor is one life of an executor.
type executor struct {
	Announcement
	token int64
	// refused grows with each hold that was refused for a low token: orders for an
	// earlier life may have left a greater one.
	refused int64
	// fenced is whether the token was read from the executor's clock by this agent,
	// so that it is above those of earlier agents.
	fenced bool
	// held is whether the executor has answered a hold with this token: what an
	// earlier agent sent can't take effect any more.
	held    bool
	clock   time.Duration
	clockAt time.Time
	heardAt time.Time
	// listedAt is when a report first listed it; the owner's answers to this and
	// later reports renew its leases until leaseTo. leasedTo is the end of the leases
	// that the executor may have got.
	listedAt time.Time
	leaseTo  time.Time
	leasedTo time.Time
	leavesAt time.Time
	runs     map[messenger.RunRef]*run
	ends     []messenger.RunEnd
	listed   int
	seen     int
	// acked is the last end of which the executor was told that it is known.
	acked     int
	committed apricotwinch.Resources
}

// run is one run at an executor.
type run struct {
	order     messenger.RunOrder
	known     bool
	phase     string
	confirmed time.Time
	inFlight  bool
	retryAt   time.Time
	state     messenger.RunState
	// pace is the share of its speed that it is allowed, in percent, loggedPace the
	// one that was logged last.
	pace       int
	loggedPace int
	// alone is the headroom that a serving task would have without filling work.
	alone      float64
	smoothedAt time.Time
	// calmAt is when its tail was under its target last.
	calmAt time.Time
}

// takeClock notes the executor's clock as an answer received at now tells it.
func (e *executor) takeClock(now time.Time, clock time.Duration) {
	if clock > 0 {
		e.clock = clock
		e.clockAt = now
	}
}

// slowest is the least speed of an executor's clock.
const slowest = 0.98

// deadline returns a time on the executor's clock that has passed at until.
func (e *executor) deadline(until time.Time) time.Duration {
	return e.clock + time.Duration(float64(until.Sub(e.clockAt))*slowest)
}

// need returns what is set aside for a run.
func (r *run) need() apricotwinch.Resources {
	need := r.order.Resources.Value()
	if r.order.Fills {
		return need.WithoutProcessors()
	}
	return need
}

func (e *executor) add(r *run) {
	e.runs[r.order.Run] = r
	e.committed = e.committed.Add(r.need())
}

func (e *executor) remove(ref messenger.RunRef) {
	if r := e.runs[ref]; r != nil {
		e.committed = e.committed.Sub(r.need())
		delete(e.runs, ref)
	}
}
