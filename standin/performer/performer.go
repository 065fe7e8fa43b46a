// Package performer simulates one of the platform's executors for tests. An executor runs tasks
// on command, keeps leases, rejects calls with stale fencing tokens, lists the running and the ended
// runs, and sends heartbeats to the agent of its host.
//
// It reports every event to an Observer, so that a checker can compare what really ran with what the
// scheduler reports.
package performer

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Outcomes of a run.
const (
	Done    = "done"
	Failed  = "failed"
	Stopped = "stopped"
	Lapsed  = "lapsed"
	// Lost is the outcome of a run whose executor crashed. Only the Observer sees it: the executor's
	// own list of ended runs is gone.
	Lost = "lost"
)

// Event is the start or the end of a run, or the acknowledgment of an end.
type Event struct {
	At            time.Time
	Executor      string
	StartedMillis int64
	Zone          string
	Task          string
	Run           int
	Spec          string
	// Outcome is the outcome of the run; it is empty for a start.
	Outcome string
	// Acknowledged is true if the scheduler acknowledged the end of the run before the executor's leases
	// lapsed.
	Acknowledged bool
}

// Observer is called with every event, in order for each executor.
type Observer func(Event)

// Config configures an executor.
type Config struct {
	// Service, Zone and Labels describe the executor in its heartbeats.
	Service string
	Zone    string
	Labels  []string
	// CPU and MemoryMB are its capacity, in thousandths of a core and in megabytes.
	CPU, MemoryMB int64
	// HeartbeatEvery is the period of heartbeats.
	HeartbeatEvery time.Duration
	// StopTime is how long a run continues after a stop command.
	StopTime time.Duration
	// CheckpointEvery is the amount of work between two checkpoints.
	CheckpointEvery time.Duration
	// MaxLease is the longest lease that the executor grants.
	MaxLease time.Duration
	// ClockRate is the speed of the executor's clock relative to the real one; 1 is accurate.
	ClockRate float64
}

// Faults are the faults in force; the zero value has none.
type Faults struct {
	// LateFraction is the fraction of commands and holds, 0 to 1, that get no response and are executed
	// after LateDelay, by whatever incarnation is up under the id then.
	LateFraction float64
	LateDelay    time.Duration
	// Stalled stalls the executor: no run makes progress.
	Stalled bool
	// FailFraction is the fraction of runs, 0 to 1, that fail right after their start.
	FailFraction float64
	// RejectStarts rejects every start with status 503.
	RejectStarts bool
	// NoHeartbeats stops the heartbeats.
	NoHeartbeats bool
}

// Performer is a simulated executor.
type Performer struct {
	config  Config
	clock   clockwork.Clock
	observe Observer
	random  *rand.Rand

	mu        sync.Mutex
	faults    Faults
	id        string
	startedAt time.Time
	down      bool
	sequence  int
	token     int64
	// leaseDeadline is the end of the lease of all runs, on the executor's clock; 0 before the
	// first lease.
	leaseDeadline time.Duration
	// lapsed is whether the leases have lapsed, and lapses how often they did.
	lapsed        bool
	lapses        int
	runs          map[runKey]*run
	endRecords    []endRecord
	lastEndNumber int
	// rejectUpTo holds, for each task, the highest run that ended or was stopped; this run and
	// earlier ones can't be started.
	rejectUpTo map[string]int
	lateCalls  []lateCall
	changed    chan struct{}
}

// runKey identifies a run.
type runKey struct {
	task string
	run  int
}

// run is a run that has not ended.
type run struct {
	runKey
	spec        taskSpec
	specText    string
	remaining   time.Duration
	speed       float64
	advancedAt  time.Time
	stopAt      time.Time
	fails       bool
	resumedFrom string
}

// endRecord is an ended run that the scheduler has not yet acknowledged.
type endRecord struct {
	number int
	runKey
	outcome    string
	checkpoint string
	// lapses is how often the leases had lapsed at the end.
	lapses int
}

// New returns an executor with the given id and no runs. The seed makes its random faults
// reproducible.
func New(config Config, id string, seed uint64, clock clockwork.Clock, observe Observer) *Performer {
	p := &Performer{config: config, clock: clock, observe: observe, random: rand.New(rand.NewPCG(seed, seed)), changed: make(chan struct{})}
	p.startIncarnation(id)
	return p
}

// startIncarnation starts a new incarnation without runs, whose start time is later than that of
// the one before. The caller holds p.mu, or is New.
func (p *Performer) startIncarnation(id string) {
	startedAt := p.clock.Now()
	if !startedAt.After(p.startedAt) {
		startedAt = p.startedAt.Add(time.Millisecond)
	}
	p.id, p.startedAt = id, startedAt
	p.down = false
	p.sequence, p.token, p.leaseDeadline, p.lastEndNumber = 0, 0, 0, 0
	p.lapsed, p.lapses = false, 0
	p.runs, p.rejectUpTo, p.endRecords = map[runKey]*run{}, map[string]int{}, nil
}

// ID returns the id of the current incarnation.
func (p *Performer) ID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id
}

// SetFaults replaces the faults in force.
func (p *Performer) SetFaults(faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	p.faults = faults
}

// Crash ends the current incarnation and all its runs.
func (p *Performer) Crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endIncarnation()
}

// endIncarnation ends the incarnation and all its runs; p.mu is held.
func (p *Performer) endIncarnation() {
	p.advance()
	p.down = true
	for _, r := range p.runs {
		p.report(r, Lost)
	}
	p.runs = map[runKey]*run{}
	p.notifyWaiters()
}

// Restart starts a new incarnation with the given id. One that is still up ends.
func (p *Performer) Restart(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endIncarnation()
	p.startIncarnation(id)
}

// Advance advances the simulation to the present. The owner of the executor must call it often.
func (p *Performer) Advance() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
}

// uptime returns the time since the start of the incarnation on the executor's own clock, which
// runs at Config.ClockRate; p.mu is held.
func (p *Performer) uptime() time.Duration {
	return time.Duration(float64(p.clock.Since(p.startedAt)) * p.config.ClockRate)
}

// advance advances every run to the present, ends those that are due, and then executes the late calls
// that are due; p.mu is held.
func (p *Performer) advance() {
	now := p.clock.Now()
	lapsed := p.leaseDeadline > 0 && p.uptime() > p.leaseDeadline
	if lapsed && !p.lapsed {
		p.lapses++
	}
	p.lapsed = lapsed
	for _, r := range p.runs {
		elapsed := now.Sub(r.advancedAt)
		r.advancedAt = now
		if !p.faults.Stalled {
			r.remaining -= time.Duration(float64(elapsed) * r.speed)
		}
		switch {
		case lapsed:
			p.finish(r, Lapsed)
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			p.finish(r, Stopped)
		case r.fails:
			p.finish(r, Failed)
		case !r.spec.LongRunning && r.remaining <= 0:
			p.finish(r, Done)
		}
	}
	p.executeLateCalls(now)
}

// finish ends a run and adds it to the end records; p.mu is held.
func (p *Performer) finish(r *run, outcome string) {
	delete(p.runs, r.runKey)
	p.rejectUpTo[r.task] = max(p.rejectUpTo[r.task], r.run)
	p.lastEndNumber++
	checkpoint := ""
	if outcome != Done {
		checkpoint = p.checkpoint(r)
	}
	p.endRecords = append(p.endRecords, endRecord{number: p.lastEndNumber, runKey: r.runKey, outcome: outcome, checkpoint: checkpoint, lapses: p.lapses})
	p.report(r, outcome)
	p.notifyWaiters()
}

func (p *Performer) report(r *run, outcome string) {
	p.observe(Event{
		At: p.clock.Now(), Executor: p.id, StartedMillis: p.startedAt.UnixMilli(), Zone: p.config.Zone,
		Task: r.task, Run: r.run, Spec: r.specText, Outcome: outcome,
	})
}

// notifyWaiters wakes the hold calls that wait for a run to end; p.mu is held.
func (p *Performer) notifyWaiters() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Running returns the number of runs that have not ended.
func (p *Performer) Running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runs)
}

// Handler returns the HTTP handler of the calls that the executor's agent makes.
func (p *Performer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /apricotwinch/run-start", p.commandHandler(p.start))
	mux.HandleFunc("POST /apricotwinch/run-stop", p.commandHandler(p.stop))
	mux.HandleFunc("POST /apricotwinch/pace", p.commandHandler(p.setSpeed))
	mux.HandleFunc("POST /apricotwinch/hold", p.hold)
	return mux
}
