// Package responder stands in for a target: the back end of a service on one
// host, behind HTTP, with faults on demand.
package responder

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"apricotwinch"
	"apricotwinch/standin/disrupter"
	"apricotwinch/standin/journaler"
)

// Headers of a request to a target.
const (
	// HeaderRequest carries the id of the request.
	HeaderRequest = "X-Request-Id"
	// HeaderDeadline carries the time left in milliseconds.
	HeaderDeadline = "X-Deadline-Millis"
)

// Phases of an ended request.
const (
	PhaseAnswered = "answered" // The request ran to its end.
	PhaseFailed   = "failed"   // The request failed.
	PhaseRefused  = "refused"  // The target had no free slot.
)

// Undisturbed is the slowdown of a target that nothing disturbs, in thousandths.
const Undisturbed = 1000

// Config sets a responder.
type Config struct {
	// Host is the name of the host.
	Host string
	// DataCentre is the data centre of the host.
	DataCentre string
	// Service is the name of the service.
	Service string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Latency is how long a request runs.
	Latency time.Duration
	// PaddingBytes lengthens each answer.
	PaddingBytes int
	// Noise returns how much the work beside the target slows it, in thousandths of
	// the latency; nil for not at all.
	Noise func() int
}

// Faults are the faults of a responder; the zero value has none.
type Faults struct {
	disrupter.Faults
	// SlowdownPermille slows every request down, in thousandths of the latency; 0
	// is undisturbed.
	SlowdownPermille int `json:"slowdownPermille,omitempty"`
	// FailFast fails every request at once with status 500.
	FailFast bool `json:"failFast,omitempty"`
}

// Answer is the body of an answer.
type Answer struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Host is the name of the host that ran the request.
	Host string `json:"host"`
	// Request is the id of the request.
	Request string `json:"request"`
	// BodyHash is the SHA-256 of the request's body, in hexadecimal.
	BodyHash string `json:"bodyHash"`
	// Padding lengthens the answer.
	Padding string `json:"padding,omitempty"`
}

// Responder is the target; it serves HTTP.
type Responder struct {
	config    Config
	clock     clockwork.Clock
	journal   journaler.Journal
	disrupter *disrupter.Disrupter
	handler   http.Handler

	mu     sync.Mutex
	faults Faults
	busy   int
	idle   *sync.Cond
}

// New returns a target that hands the start and the end of each run to journal.
func New(config Config, clock clockwork.Clock, journal journaler.Journal) *Responder {
	r := &Responder{
		config:    config,
		clock:     clock,
		journal:   journal,
		disrupter: disrupter.New(clock),
	}
	r.idle = sync.NewCond(&r.mu)
	r.handler = r.routes()
	return r
}

func (r *Responder) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /{$}", r.disrupter.Wrap(http.HandlerFunc(r.serveRequest)))
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, request *http.Request) {
		var faults Faults
		if err := disrupter.ReadJSON(request, &faults); err != nil {
			disrupter.WriteError(w, err)
			return
		}
		r.SetFaults(faults)
		disrupter.WriteJSON(w, struct{}{})
	})
	return mux
}

// ServeHTTP serves the target, and its faults at POST /faults.
func (r *Responder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.handler.ServeHTTP(w, request)
}

// SetFaults replaces the faults in force.
func (r *Responder) SetFaults(faults Faults) {
	r.mu.Lock()
	r.faults = faults
	r.mu.Unlock()
	r.disrupter.Set(faults.Faults)
}

// Leave journals that the target leaves.
func (r *Responder) Leave() {
	r.journal(journaler.Entry{
		Event:      journaler.Leaving,
		Host:       r.config.Host,
		DataCentre: r.config.DataCentre,
		Service:    r.config.Service,
		At:         r.clock.Now(),
	})
}

// Wait waits until no request runs.
func (r *Responder) Wait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.busy > 0 {
		r.idle.Wait()
	}
}

func (r *Responder) serveRequest(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		disrupter.WriteError(w, apricotwinch.Errorf(apricotwinch.Invalid, "body: %w", err))
		return
	}
	id, hash := request.Header.Get(HeaderRequest), journaler.Hash(body)
	if !r.take() {
		r.record(journaler.RequestEnded, id, hash, PhaseRefused)
		disrupter.WriteError(w, apricotwinch.Errorf(apricotwinch.Overloaded, "all %d slots are taken", r.config.Slots))
		return
	}
	defer r.release()
	r.record(journaler.RequestStarted, id, hash, "")
	latency, fails := r.plan()
	if fails {
		r.record(journaler.RequestEnded, id, hash, PhaseFailed)
		disrupter.WriteError(w, apricotwinch.Errorf(apricotwinch.Internal, "the target fails"))
		return
	}
	r.clock.Sleep(latency)
	r.record(journaler.RequestEnded, id, hash, PhaseAnswered)
	disrupter.WriteJSON(w, Answer{
		Service:  r.config.Service,
		Host:     r.config.Host,
		Request:  id,
		BodyHash: hash,
		Padding:  strings.Repeat("x", r.config.PaddingBytes),
	})
}

// plan returns how long the next request runs and whether it fails.
func (r *Responder) plan() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	permille := r.faults.SlowdownPermille
	if permille <= 0 {
		permille = Undisturbed
	}
	if r.config.Noise != nil {
		permille += r.config.Noise()
	}
	return r.config.Latency * time.Duration(permille) / Undisturbed, r.faults.FailFast
}

func (r *Responder) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy >= r.config.Slots {
		return false
	}
	r.busy++
	return true
}

func (r *Responder) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy--
	r.idle.Broadcast()
}

func (r *Responder) record(event, id, hash, phase string) {
	r.journal(journaler.Entry{
		Event:      event,
		Host:       r.config.Host,
		DataCentre: r.config.DataCentre,
		Service:    r.config.Service,
		At:         r.clock.Now(),
		Request:    id,
		BodyHash:   hash,
		Phase:      phase,
	})
}
