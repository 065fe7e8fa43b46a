// Package responder simulates a target for tests: the back end of a service on one host. It serves
// HTTP and injects faults on demand.
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
	// HeaderDeadline carries the time that remains until the deadline, in milliseconds.
	HeaderDeadline = "X-Deadline-Millis"
)

// Outcomes of a request.
const (
	PhaseAnswered = "answered" // The request completed.
	PhaseFailed   = "failed"   // The request failed.
	PhaseRefused  = "refused"  // The target had no free slot.
)

// FullPermille is the latency of a target without interference, in thousandths of that latency.
const FullPermille = 1000

// Config configures a responder.
type Config struct {
	// Host is the name of the host.
	Host string
	// DataCentre is the data centre of the host.
	DataCentre string
	// Service is the name of the service.
	Service string
	// Slots is the largest number of requests that the target runs concurrently.
	Slots int
	// Latency is the run time of a request without interference.
	Latency time.Duration
	// PaddingBytes is the size of Answer.Padding, in bytes.
	PaddingBytes int
	// Interference returns the interference of other work on the host: the latency that it adds, in
	// thousandths of Latency. Nil means no interference.
	Interference func() int
}

// Faults are the faults of a responder; the zero value has none.
type Faults struct {
	disrupter.Faults
	// SlowdownPermille is the run time of every request, in thousandths of Config.Latency; 0 means
	// no slowdown.
	SlowdownPermille int `json:"slowdownPermille,omitempty"`
	// FailFast fails every request immediately with status 500.
	FailFast bool `json:"failFast,omitempty"`
}

// Answer is the JSON body of a response.
type Answer struct {
	// Service is the name of the service.
	Service string `json:"service"`
	// Host is the name of the host that ran the request.
	Host string `json:"host"`
	// Request is the id of the request.
	Request string `json:"request"`
	// BodyHash is the SHA-256 of the request's body, in hexadecimal.
	BodyHash string `json:"bodyHash"`
	// Padding makes the response longer, by Config.PaddingBytes.
	Padding string `json:"padding,omitempty"`
}

// Responder is a simulated target. It is an http.Handler.
type Responder struct {
	config    Config
	clock     clockwork.Clock
	journal   journaler.Journal
	disrupter *disrupter.Disrupter
	handler   http.Handler

	mu      sync.Mutex
	faults  Faults
	running int
	idle    *sync.Cond
}

// New returns a target without faults. It writes the start and the end of each request to journal.
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

// ServeHTTP serves the target and sets its faults at POST /faults.
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

// Leave writes to the journal that the target will stop.
func (r *Responder) Leave() {
	r.journal(journaler.Entry{
		Event:      journaler.Leaving,
		Host:       r.config.Host,
		DataCentre: r.config.DataCentre,
		Service:    r.config.Service,
		At:         r.clock.Now(),
	})
}

// Wait blocks until no request is running.
func (r *Responder) Wait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.running > 0 {
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
	if !r.acquireSlot() {
		r.record(journaler.RequestEnded, id, hash, PhaseRefused)
		disrupter.WriteError(w, apricotwinch.Errorf(apricotwinch.Overloaded, "all %d slots are taken", r.config.Slots))
		return
	}
	defer r.releaseSlot()
	r.record(journaler.RequestStarted, id, hash, "")
	latency, fails := r.planRun()
	if fails {
		r.record(journaler.RequestEnded, id, hash, PhaseFailed)
		disrupter.WriteError(w, apricotwinch.Errorf(apricotwinch.Internal, "the target is set to fail"))
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

// planRun returns the run time of the next request and whether it fails.
func (r *Responder) planRun() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	permille := r.faults.SlowdownPermille
	if permille <= 0 {
		permille = FullPermille
	}
	if r.config.Interference != nil {
		permille += r.config.Interference()
	}
	return r.config.Latency * time.Duration(permille) / FullPermille, r.faults.FailFast
}

func (r *Responder) acquireSlot() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running >= r.config.Slots {
		return false
	}
	r.running++
	return true
}

func (r *Responder) releaseSlot() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
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
