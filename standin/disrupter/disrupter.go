// Package disrupter injects faults into the HTTP handler of a stand-in: outages, hangs, delays and
// responses that are lost after the request took effect.
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

// LoseAllResponses is the value of Faults.LoseResponses that loses every response.
const LoseAllResponses = -1

// MaxBodyBytes is the largest request body that a stand-in accepts, in bytes.
const MaxBodyBytes = 16 << 20

// Faults are the faults in force; the zero value has none.
type Faults struct {
	// Down fails every request with status 503.
	Down bool `json:"down,omitempty"`
	// RejectPosts fails every POST request with status 503.
	RejectPosts bool `json:"rejectPosts,omitempty"`
	// Hang holds every request until the fault is lifted. A request whose client disconnects meanwhile
	// has no effect.
	Hang bool `json:"hang,omitempty"`
	// DelayMillis delays each request before it takes effect, in milliseconds. A POST takes effect
	// even if its client disconnects meanwhile.
	DelayMillis int `json:"delayMillis,omitempty"`
	// LoseResponses is the number of POST requests that take effect but whose connection is dropped
	// instead of a response; LoseAllResponses means all of them.
	LoseResponses int `json:"loseAnswers,omitempty"`
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

// Wrap returns a handler that serves next under the faults in force. It rejects a body larger than
// MaxBodyBytes with kind TooLarge.
func (d *Disrupter) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
		if err != nil {
			WriteError(w, apricotwinch.Errorf(apricotwinch.TooLarge, "body: %w", err))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		d.awaitHangLifted(r)
		d.sleepDelay(r)
		d.serve(w, r, next)
	})
}

func (d *Disrupter) awaitHangLifted(r *http.Request) {
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

func (d *Disrupter) sleepDelay(r *http.Request) {
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
	if faults := d.Faults(); faults.Down || faults.RejectPosts && r.Method == http.MethodPost {
		writeDown(w)
		return
	}
	response := &responseBuffer{header: w.Header(), status: http.StatusOK}
	next.ServeHTTP(response, r)
	if r.Method == http.MethodPost && d.consumeLoss() {
		panic(http.ErrAbortHandler)
	}
	// An outage that began while a read was served fails that read too.
	if r.Method == http.MethodGet && d.Faults().Down {
		writeDown(w)
		return
	}
	w.WriteHeader(response.status)
	_, _ = w.Write(response.body.Bytes())
}

// consumeLoss reports whether the next response is lost, and counts it against
// Faults.LoseResponses.
func (d *Disrupter) consumeLoss() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.faults.LoseResponses > 0 {
		d.faults.LoseResponses--
		return true
	}
	return d.faults.LoseResponses == LoseAllResponses
}

func writeDown(w http.ResponseWriter) {
	WriteError(w, apricotwinch.Errorf(apricotwinch.Unreachable, "the stand-in is down"))
}

// responseBuffer holds a response until it is decided whether the response is lost.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the header of the response.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader sets the status code of the response.
func (b *responseBuffer) WriteHeader(status int) { b.status = status }

// Write adds to the body of the response.
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	// Kind is the error kind.
	Kind apricotwinch.Kind `json:"kind"`
	// Text is the error message.
	Text string `json:"text"`
}

// WriteError writes an ErrorBody with the status that belongs to the kind of err.
func WriteError(w http.ResponseWriter, err error) {
	kind := apricotwinch.KindOf(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(kind.ErrorResponse().Status())
	_ = json.NewEncoder(w).Encode(ErrorBody{Kind: kind, Text: err.Error()})
}

// WriteJSON writes value as JSON with status 200.
func WriteJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes the JSON body of r into value. It fails with kind Invalid on an unknown field or
// a malformed body.
func ReadJSON(r *http.Request, value any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "body: %w", err)
	}
	return nil
}
