// Package receiver receives HTTP requests of clients that nobody controls: it bounds the connections, the
// heads of requests, the memory for bodies and the time that a body may take.
package receiver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/budgeter"
	"apricotwinch/connector"
)

// Config holds the limits of a Receiver.
type Config struct {
	// Connections is the greatest number of open connections.
	Connections int
	// HeaderBytes and HeaderLines bound the head of a request; 0 lines for no bound. HeaderTimeout is the
	// time within which the head arrives.
	HeaderBytes   int
	HeaderLines   int64
	HeaderTimeout time.Duration
	// BodyBudgetBytes is the memory for bodies in progress, SmallBodyBudgetBytes that for bodies of at most
	// SmallBodyBytes.
	BodyBudgetBytes, SmallBodyBudgetBytes, SmallBodyBytes int64
	// BodyTimeout is the time within which a body arrives whole, BodyStall how long it may bring no byte, and
	// BodyMinBytesPerSecond the least rate beyond the first BodyStall.
	BodyTimeout, BodyStall time.Duration
	BodyMinBytesPerSecond  int64
}

const (
	// pieceBytes is the first size of the buffer for a body of unknown length, which doubles.
	pieceBytes = 4 << 10
	// readBytes is the most that is read of a body before other connections are served.
	readBytes = 16 << 10
	// drainTimeout bounds the time in which the rest of a body that is not wanted is read, so that the answer
	// is not lost. The server reads at most 256 KiB of it.
	drainTimeout = 500 * time.Millisecond
	// smallAnswerTimeout bounds the time in which a client takes an answer of at most smallAnswerBytes: a segment
	// that is lost three times comes 1.4 s late. answerTimeout is that for longer ones, such as metrics.
	smallAnswerTimeout = 2 * time.Second
	smallAnswerBytes   = 4 << 10
	answerTimeout      = 10 * time.Second
)

// Receiver receives the requests of one listener. It is safe for concurrent use.
type Receiver struct {
	config   Config
	budget   *budgeter.Budgeter
	registry metrics.Registry
	name     string
}

// New returns a receiver that counts events in registry under names that begin with name.
func New(config Config, registry metrics.Registry, name string) *Receiver {
	return &Receiver{
		config: config,
		budget: budgeter.New(budgeter.Config{
			Bytes: config.BodyBudgetBytes, SmallBytes: config.SmallBodyBudgetBytes, SmallGrant: config.SmallBodyBytes,
		}),
		registry: registry,
		name:     name,
	}
}

// Attach sets the limits on server, whose handler must be set, and returns the listener that it is to serve
// in place of listener.
func (r *Receiver) Attach(server *http.Server, listener net.Listener) net.Listener {
	bounded := connector.Bound(listener, r.config.Connections, r.registry, r.name)
	server.Handler = r.wrap(server.Handler)
	server.ReadHeaderTimeout = r.config.HeaderTimeout
	server.MaxHeaderBytes = r.config.HeaderBytes
	bounded.Attach(server, r.config.HeaderLines)
	return bounded
}

// wrap returns a handler that bounds the time of answers and of bodies that next does not read.
func (r *Receiver) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		// A crowd that sends requests without a pause must not keep the rest of the process waiting for a time
		// slice of each connection.
		runtime.Gosched()
		conn := connector.ConnOf(req.Context())
		conn.MarkHeadRead()
		control := http.NewResponseController(w)
		body := &trackedBody{ReadCloser: req.Body, done: req.ContentLength == 0}
		if body.done {
			conn.SetPhase(budgeter.Serving)
		} else {
			req.Body = body
			// It bounds bodies that next does not read, or not with ReadBody.
			_ = control.SetReadDeadline(time.Now().Add(r.config.BodyTimeout))
			// A body that is asked for with status 100 (Continue).
			_ = control.SetWriteDeadline(time.Now().Add(r.config.BodyTimeout))
		}
		writer := &timedWriter{ResponseWriter: w, control: control, conn: conn}
		next.ServeHTTP(writer, req)
		conn.SetPhase(budgeter.Answering)
		if !body.done {
			_ = control.SetReadDeadline(time.Now().Add(drainTimeout))
		}
		// The answer may still be in a buffer.
		_ = control.SetWriteDeadline(time.Now().Add(writer.timeout()))
	})
}

// ReadBody reads the body of a request, of at most limit bytes. The grant is for the memory that the body
// takes; the caller releases it. It fails with kind TooLarge, Overloaded if there is no memory for it,
// TooSlow, or Invalid if the client disconnects, and then tells the client to send no more on the connection.
// Nothing of the request was carried out then.
func (r *Receiver) ReadBody(w http.ResponseWriter, req *http.Request, limit int64) ([]byte, *budgeter.Grant, error) {
	data, grant, err := r.readBody(w, req, limit)
	if err != nil {
		r.countRefusal(err)
		w.Header().Set("Connection", "close")
		return nil, nil, err
	}
	connector.ConnOf(req.Context()).SetPhase(budgeter.Serving)
	return data, grant, nil
}

// Grow adds bytes to the grant of a body for what it is decoded to. An amount that no body could get counts as
// the largest that one can get, so that such a body is served while there is no other. It fails with kind
// Overloaded.
func (r *Receiver) Grow(grant *budgeter.Grant, bytes int64) error {
	largest := r.budget.Largest() - 2*grant.Bytes()
	err := grant.Grow(min(bytes, max(0, largest)))
	if err != nil {
		r.countRefusal(err)
	}
	return err
}

// Held returns how many bytes are held for bodies.
func (r *Receiver) Held() int64 { return r.budget.Used() }

func (r *Receiver) countRefusal(err error) {
	reason := budgeter.ReasonOf(err)
	switch apricotwinch.KindOf(err) {
	case apricotwinch.TooLarge:
		reason = "large_body"
	case apricotwinch.TooSlow:
		reason = "slow_body"
	default:
	}
	if reason != "" {
		metrics.GetOrRegisterCounter(r.name+".refused_"+reason, r.registry).Inc(1)
	}
}

func (r *Receiver) readBody(w http.ResponseWriter, req *http.Request, limit int64) (data []byte, grant *budgeter.Grant, err error) {
	if req.ContentLength > limit {
		return nil, nil, apricotwinch.Errorf(apricotwinch.TooLarge, "body: %d bytes exceed the limit of %d", req.ContentLength, limit)
	}
	size := min(int64(pieceBytes), limit+1)
	if req.ContentLength >= 0 {
		size = req.ContentLength
	}
	grant, err = r.budget.Acquire(connector.PeerOf(req.RemoteAddr), size)
	if err != nil {
		return nil, nil, err
	}
	defer func() {
		if err != nil {
			grant.Release()
		}
	}()
	timer := r.newBodyTimer(w, req)
	if req.ContentLength >= 0 {
		data = make([]byte, size)
		n, err := timer.read(req.Body, data)
		if err == nil && int64(n) < size {
			err = apricotwinch.Errorf(apricotwinch.Invalid, "body: %w", io.ErrUnexpectedEOF)
		}
		if err == nil {
			// Reads the end of the body, so that the connection can be used again.
			_, err = timer.read(req.Body, make([]byte, 1))
		}
		timer.stop()
		return data, grant, err
	}
	for {
		// One byte more than the limit tells a body that exceeds it.
		next := make([]byte, size)
		kept := copy(next, data)
		n, err := timer.read(req.Body, next[kept:])
		if err != nil {
			return nil, grant, err
		}
		data = next[:kept+n]
		if int64(len(data)) > limit {
			return nil, grant, apricotwinch.Errorf(apricotwinch.TooLarge, "body: exceeds the limit of %d bytes", limit)
		}
		if int64(len(data)) < size {
			timer.stop()
			return data, grant, nil
		}
		// The smaller buffer stays granted: it is garbage that has not been collected yet.
		size = min(2*size, limit+1)
		if err := grant.Grow(size); err != nil {
			return nil, grant, err
		}
	}
}

// bodyTimer reads a body within the limits of time.
type bodyTimer struct {
	config   Config
	control  *http.ResponseController
	began    time.Time
	latest   time.Time
	received int64
}

// newBodyTimer returns a timer for a body that starts to arrive now. The body must have arrived by the
// deadline of the request's context, since nothing can be done with it after that.
func (r *Receiver) newBodyTimer(w http.ResponseWriter, req *http.Request) *bodyTimer {
	t := &bodyTimer{config: r.config, control: http.NewResponseController(w), began: time.Now()}
	t.latest = t.began.Add(r.config.BodyTimeout)
	if deadline, ok := req.Context().Deadline(); ok && deadline.Before(t.latest) {
		t.latest = deadline
	}
	return t
}

// read reads until data is full or the body ends.
func (t *bodyTimer) read(body io.Reader, data []byte) (int, error) {
	n := 0
	for n < len(data) {
		_ = t.control.SetReadDeadline(t.deadline(time.Now()))
		read, err := body.Read(data[n:min(len(data), n+readBytes)])
		n += read
		t.received += int64(read)
		if errors.Is(err, io.EOF) {
			return n, nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return n, apricotwinch.Errorf(apricotwinch.TooSlow, "body: %d bytes arrived in %s", t.received, time.Since(t.began).Round(time.Millisecond))
		}
		if err != nil {
			return n, apricotwinch.Errorf(apricotwinch.Invalid, "body: %w", err)
		}
		// A crowd of bodies that cost much to read, such as those in chunks of one byte, must not keep the
		// rest of the process waiting for a time slice of each.
		runtime.Gosched()
	}
	return n, nil
}

// deadline returns until when the next byte must arrive.
func (t *bodyTimer) deadline(now time.Time) time.Time {
	latest := now.Add(t.config.BodyStall)
	slow := t.began.Add(t.config.BodyStall + time.Duration(t.received)*time.Second/time.Duration(t.config.BodyMinBytesPerSecond))
	for _, limit := range []time.Time{slow, t.latest} {
		if limit.Before(latest) {
			latest = limit
		}
	}
	return latest
}

// stop ends the limits of time once the body has arrived: a deadline that passes later would count as the end
// of the connection.
func (t *bodyTimer) stop() { _ = t.control.SetReadDeadline(time.Time{}) }

// trackedBody knows whether a body was read to its end.
type trackedBody struct {
	io.ReadCloser
	done bool
}

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.done = true
	}
	return n, err
}

// timedWriter bounds the time in which a client takes an answer.
type timedWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	conn    *connector.BoundedConn
	written int
}

// timeout returns the time in which the client takes what was written last.
func (w *timedWriter) timeout() time.Duration {
	if w.written <= smallAnswerBytes {
		return smallAnswerTimeout
	}
	return answerTimeout
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *timedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes a part of the answer.
func (w *timedWriter) Write(p []byte) (int, error) {
	w.written += len(p)
	_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout()))
	w.conn.SetPhase(budgeter.Answering)
	defer w.conn.SetPhase(budgeter.Serving)
	return w.ResponseWriter.Write(p)
}
