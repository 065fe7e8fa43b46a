// Package disrupter gives an HTTP handler of a stand-in its faults: outages,
// hangs, delays and answers that are lost after the act.
package disrupter

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"apricotwinch"
)

// LoseAll as a number of answers loses every answer.
const LoseAll = -1

// MaxBodyBytes is the greatest body that a stand-in accepts.
const MaxBodyBytes = 16 << 20

// Faults are the faults in force; the zero value has none.
type Faults struct {
	// Down answers every request with 503.
	Down bool `json:"down,omitempty"`
	// Hang holds every request until the fault is lifted; a request whose caller
	// gave up meanwhile does not act.
	Hang bool `json:"hang,omitempty"`
	// DelayMillis delays each request before it acts, in milliseconds; a POST acts
	// also when its caller gave up meanwhile.
	DelayMillis int `json:"delayMillis,omitempty"`
	// LoseAnswers is the number of POST requests that act and then lose their
	// answer with their connection; LoseAll loses all.
	LoseAnswers int `json:"loseAnswers,omitempty"`
}

// Disrupter holds the faults of one stand-in.
type Disrupter struct {
	clock clockwork.Clock

	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
}

// New returns a disrupter without faults.
func New(clock clockwork.Clock) *Disrupter {
	return &Disrupter{clock: clock, changed: make(chan struct{})}
}

// Set replaces the faults in force.
func (d *Disrupter) Set(faults Faults) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = faults
	close(d.changed)
	d.changed = make(chan struct{})
}

// Faults returns the faults in force.
func (d *Disrupter) Faults() Faults {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults
}

// Wrap returns a handler that serves next under the faults in force.
func (d *Disrupter) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
		if err != nil {
			WriteError(w, apricotwinch.Errorf(apricotwinch.TooLarge, "body: %w", err))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		d.awaitLifted(r)
		d.delay(r)
		d.serve(w, r, next)
	})
}

func (d *Disrupter) awaitLifted(r *http.Request) {
	for {
		d.mu.Lock()
		hang, changed := d.faults.Hang, d.changed
		d.mu.Unlock()
		if !hang {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (d *Disrupter) delay(r *http.Request) {
	delay := time.Duration(d.Faults().DelayMillis) * time.Millisecond
	if delay <= 0 {
		return
	}
	if r.Method == http.MethodPost {
		d.clock.Sleep(delay)
		return
	}
	select {
	case <-d.clock.After(delay):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

func (d *Disrupter) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	if d.Faults().Down {
		writeDown(w)
		return
	}
	answer := &buffer{header: w.Header(), status: http.StatusOK}
	next.ServeHTTP(answer, r)
	if r.Method == http.MethodPost && d.takeLoss() {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodGet && d.Faults().Down {
		writeDown(w)
		return
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body.Bytes())
}

func (d *Disrupter) takeLoss() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.faults.LoseAnswers > 0 {
		d.faults.LoseAnswers--
		return true
	}
	return d.faults.LoseAnswers == LoseAll
}

func writeDown(w http.ResponseWriter) {
	WriteError(w, apricotwinch.Errorf(apricotwinch.Unreachable, "the stand-in is down"))
}

// buffer holds an answer until it is known whether it is lost.
type buffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header of the answer.
func (b *buffer) Header() http.Header { return b.header }

// WriteHeader sets the status code of the answer.
func (b *buffer) WriteHeader(status int) { b.status = status }

// Write adds to the body of the answer.
func (b *buffer) Write(p []byte) (int, error) { return b.body.Write(p) }

// ErrorBody is the JSON body of an answer that refuses.
type ErrorBody struct {
	// Kind is the error kind.
	Kind apricotwinch.Kind `json:"kind"`
	// Text is the cause.
	Text string `json:"text"`
}

// WriteError answers with the status of the kind of err and an ErrorBody.
func WriteError(w http.ResponseWriter, err error) {
	kind := apricotwinch.KindOf(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(kind.Answer().Status())
	_ = json.NewEncoder(w).Encode(ErrorBody{Kind: kind, Text: err.Error()})
}

// WriteJSON answers 200 with value as JSON.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes the body of r into value; it fails with kind Invalid on an
// unknown field or a malformed body.
func ReadJSON(r *http.Request, value any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "body: %w", err)
	}
	return nil
}
