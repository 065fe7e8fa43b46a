// Package performer stands in for one of the platform's executors: it runs tasks by
// order, keeps leases, fences callers, lists what runs and what ended, and announces
// itself to the agent of its host.
//
// What it did is told to a Witness, so that a checker needs not trust what the
// scheduler says.
package performer

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Ways in which a run ends.
const (
	Done    = "done"
	Failed  = "failed"
	Stopped = "stopped"
	Lapsed  = "lapsed"
	// Lost is the end of a run with its executor; no list tells it.
	Lost = "lost"
)

// Event is something that an executor did.
type Event struct {
	At       time.Time
	Executor string
	Born     int64
	Zone     string
	Task     string
	Run      int
	Spec     string
	// How is empty for a start; otherwise how the run ended.
	How string
	// Noted is whether the event says that an end was taken note of.
	Noted bool
}

// Witness is told of every event, in order for each executor.
type Witness func(Event)

// Config sets an executor.
type Config struct {
	// Service, Zone and Labels are what it tells of itself.
	Service string
	Zone    string
	Labels  []string
	// CPU and MemoryMB are its capacity, in thousandths of a core and megabytes.
	CPU, MemoryMB int64
	// HeartbeatEvery is the time between two announcements.
	HeartbeatEvery time.Duration
	// StopTakes is how long a run goes on after its stop.
	StopTakes time.Duration
	// SaveEvery is the work between two checkpoints.
	SaveEvery time.Duration
	// HoldMax bounds a lease.
	HoldMax time.Duration
	// Rate is the speed of its clock; 1 is right.
	Rate float64
}

// Faults are the faults in force; the zero value has none.
type Faults struct {
	// Late is the share of orders, 0 to 1, that get no answer and are carried out
	// after LateBy.
	Late   float64
	LateBy time.Duration
	// Still lets no run progress.
	Still bool
	// Fails is the share of runs, 0 to 1, that fail at their start.
	Fails float64
	// Silent stops the announcements.
	Silent bool
}

// Performer is one executor.
type Performer struct {
	config  Config
	clock   clockwork.Clock
	witness Witness
	random  *rand.Rand

	mu       sync.Mutex
	faults   Faults
	id       string
	born     time.Time
	down     bool
	sequence int
	token    int64
	deadline time.Duration
	runs     map[key]*run
	ends     []end
	number   int
	barred   map[string]int
	changed  chan struct{}
}

// key names a run.
type key struct {
	task string
	run  int
}

// run is something that runs.
type run struct {
	key
	spec     work
	text     string
	left     time.Duration
	pace     float64
	advanced time.Time
	stopAt   time.Time
	fails    bool
	resumed  string
}

// end is one row of the list of ends.
type end struct {
	number int
	key
	how   string
	saved string
}

// New returns an executor under an id, which runs nothing.
func New(config Config, id string, seed uint64, clock clockwork.Clock, witness Witness) *Performer {
	p := &Performer{config: config, clock: clock, witness: witness, random: rand.New(rand.NewPCG(seed, seed)), changed: make(chan struct{})}
	p.reborn(id)
	return p
}

// reborn begins a life; p.mu is held or not needed yet.
func (p *Performer) reborn(id string) {
	born := p.clock.Now()
	if !born.After(p.born) {
		born = p.born.Add(time.Millisecond)
	}
	p.id, p.born = id, born
	p.down = false
	p.sequence, p.token, p.deadline, p.number = 0, 0, 0, 0
	p.runs, p.barred, p.ends = map[key]*run{}, map[string]int{}, nil
}

// ID returns the id of the present life.
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

// Crash ends the present life, with all that runs.
func (p *Performer) Crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	p.down = true
	for _, r := range p.runs {
		p.tell(r, Lost)
	}
	p.runs = map[key]*run{}
	p.wake()
}

// Restart begins the next life, under the given id.
func (p *Performer) Restart(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reborn(id)
}

// Advance lets the work go on until now; the owner of the executor calls it often.
func (p *Performer) Advance() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
}

// uptime returns the executor's own clock; p.mu is held.
func (p *Performer) uptime() time.Duration {
	return time.Duration(float64(p.clock.Since(p.born)) * p.config.Rate)
}

// advance lets the work of every run go on, and ends what is over; p.mu is held.
func (p *Performer) advance() {
	now := p.clock.Now()
	lapsed := p.deadline > 0 && p.uptime() > p.deadline
	for _, r := range p.runs {
		passed := now.Sub(r.advanced)
		r.advanced = now
		if !p.faults.Still {
			r.left -= time.Duration(float64(passed) * r.pace)
		}
		switch {
		case lapsed:
			p.finish(r, Lapsed)
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			p.finish(r, Stopped)
		case r.fails:
			p.finish(r, Failed)
		case !r.spec.Lasts && r.left <= 0:
			p.finish(r, Done)
		}
	}
}

// finish ends a run and lists it; p.mu is held.
func (p *Performer) finish(r *run, how string) {
	delete(p.runs, r.key)
	p.barred[r.task] = max(p.barred[r.task], r.run)
	p.number++
	saved := ""
	if how != Done {
		saved = p.saved(r)
	}
	p.ends = append(p.ends, end{number: p.number, key: r.key, how: how, saved: saved})
	p.tell(r, how)
	p.wake()
}

func (p *Performer) tell(r *run, how string) {
	p.witness(Event{
		At: p.clock.Now(), Executor: p.id, Born: p.born.UnixMilli(), Zone: p.config.Zone,
		Task: r.task, Run: r.run, Spec: r.text, How: how,
	})
}

// wake answers the calls that wait for an end; p.mu is held.
func (p *Performer) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Running returns the number of runs.
func (p *Performer) Running() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runs)
}

// Handler returns the calls of the executor's agent.
func (p *Performer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /apricotwinch/run-start", p.order(p.start))
	mux.HandleFunc("POST /apricotwinch/run-stop", p.order(p.stop))
	mux.HandleFunc("POST /apricotwinch/pace", p.order(p.setPace))
	mux.HandleFunc("POST /apricotwinch/hold", p.hold)
	return mux
}
