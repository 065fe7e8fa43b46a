package dispatcher

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"apricotwinch"
	"apricotwinch/authenticator"
	"apricotwinch/configurator"
	"apricotwinch/messenger"
	"apricotwinch/receiver"
)

// operatorName is the name of the operator whose token the entry's settings hold.
const operatorName = "root"

// call is one HTTP request of an authenticated caller.
type call struct {
	ctx    context.Context
	caller configurator.Principal
	writer http.ResponseWriter
	*http.Request

	bodies       *receiver.Receiver
	maxBodyBytes int64
	// release returns the memory of the body.
	release func()
}

// route is one operation of the interface to callers and operators.
type route struct {
	pattern string
	handle  func(*Entry, *call) error
}

// routes is the table of operations; each file adds the ones that it serves.
var routes []route

func register(pattern string, handle func(*Entry, *call) error) {
	routes = append(routes, route{pattern: pattern, handle: handle})
}

// handler returns the HTTP interface of the entry.
func (e *Entry) handler() http.Handler {
	mux := http.NewServeMux()
	for _, r := range routes {
		mux.HandleFunc(r.pattern, func(w http.ResponseWriter, req *http.Request) { e.serve(w, req, r) })
	}
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", e.serveReady)
	mux.Handle("GET /metrics", e.metrics)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		markHeadRead(req)
		if err := e.checkHead(w, req, mux); err != nil {
			e.writeError(w, err)
			return
		}
		mux.ServeHTTP(w, req)
	})
}

// checkHead returns an error that names what is wrong with the headers, the path
// or the method of a request.
func (e *Entry) checkHead(w http.ResponseWriter, req *http.Request, mux *http.ServeMux) error {
	if limit := e.settings.Limits.HeaderBytes; headBytes(req) > limit {
		return apricotwinch.Errorf(apricotwinch.TooLarge, "headers: exceed %d bytes", limit)
	}
	handler, pattern := mux.Handler(req)
	if pattern != "" {
		return nil
	}
	recorder := statusRecorder{header: make(http.Header)}
	handler.ServeHTTP(&recorder, req)
	if recorder.status != http.StatusMethodNotAllowed {
		return apricotwinch.Errorf(apricotwinch.NotFound, "path: %q is not known", req.URL.Path)
	}
	allow := recorder.header.Get("Allow")
	w.Header().Set("Allow", allow)
	return apricotwinch.Errorf(apricotwinch.Invalid, "method: %s is not one of %s", req.Method, allow)
}

// headBytes returns the length of the request line and the headers.
func headBytes(req *http.Request) int {
	length := len(req.Method) + len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		for _, value := range values {
			length += len(name) + len(value) + len(": \r\n")
		}
	}
	return length
}

// statusRecorder is a response writer that keeps the status and the headers and
// discards the body.
type statusRecorder struct {
	header http.Header
	status int
}

// Header returns the headers of the answer.
func (s *statusRecorder) Header() http.Header { return s.header }

// WriteHeader records the status of the answer.
func (s *statusRecorder) WriteHeader(status int) { s.status = status }

// Write discards data.
func (s *statusRecorder) Write(data []byte) (int, error) { return len(data), nil }

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if reason := e.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// serve authenticates the caller, limits the size of the body, calls the handler of
// the route and answers its error.
func (e *Entry) serve(w http.ResponseWriter, req *http.Request, r route) {
	done, err := e.drainer.Enter()
	if err != nil {
		e.writeError(w, err)
		return
	}
	defer done()
	if e.settingsStream.age() == neverCompleteAge {
		e.writeError(w, apricotwinch.Errorf(apricotwinch.StaleView, "the entry has not read the settings yet"))
		return
	}
	caller, err := e.authenticator.Authenticate(e.settingsStream.current(), req.Header.Get("Authorization"))
	if err != nil {
		e.writeError(w, err)
		return
	}
	c := &call{ctx: req.Context(), caller: caller, writer: w, Request: req, bodies: e.bodies, maxBodyBytes: int64(e.settings.Limits.BodyBytes), release: func() {}}
	defer func() { c.release() }()
	if err := r.handle(e, c); err != nil {
		e.writeError(w, err)
	}
}

// writeError answers err with the status and the advice on retries of its kind, and
// counts it.
func (e *Entry) writeError(w http.ResponseWriter, err error) {
	kind := apricotwinch.KindOf(err)
	answer := kind.ErrorResponse()
	e.count(answer.Counter())
	if answer.RetryAfter() > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((answer.RetryAfter()+time.Second-1)/time.Second)))
	}
	w.Header().Set(headerErrorKind, string(kind))
	writeJSON(w, answer.Status(), messenger.ErrorAnswer{
		Kind:             string(kind),
		Text:             err.Error(),
		NotRun:           answer.NotRun(),
		Retryable:        answer.Retryable(),
		RetryAfterMillis: int(answer.RetryAfter().Milliseconds()),
	})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// readBody reads the whole body of a call, which holds its memory until the call ends.
func (c *call) readBody() ([]byte, error) {
	data, grant, err := c.bodies.ReadBody(c.writer, c.Request, c.maxBodyBytes)
	if err != nil {
		return nil, err
	}
	c.release = grant.Release
	return data, nil
}

// decode decodes the body of a call into v. An unknown field is an error that names
// it.
func (c *call) decode(v any) error {
	data, err := c.readBody()
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "body: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return apricotwinch.Errorf(apricotwinch.Invalid, "body: has data after the JSON value")
	}
	return nil
}

// team returns the team that a call is about: the caller's, or the one that the
// query parameter team names, which the caller must be allowed to act for.
func (c *call) team() (string, error) {
	team := c.URL.Query().Get("team")
	if team != "" {
		return team, authenticator.CheckTeam(c.caller, team)
	}
	if c.caller.IsOperator() {
		return "", apricotwinch.Errorf(apricotwinch.Invalid, "team: an operator must name it in the query")
	}
	return c.caller.Name(), nil
}

// idempotencyKey returns the idempotency key of a call, or "" if it has none.
func (c *call) idempotencyKey() (string, error) {
	values, ok := c.Header[headerKey]
	switch {
	case !ok:
		return "", nil
	case len(values) != 1 || values[0] == "":
		return "", apricotwinch.Errorf(apricotwinch.Invalid, "%s: must be a single non-empty key", headerKey)
	case len(values[0]) > maxKeyBytes:
		return "", apricotwinch.Errorf(apricotwinch.Invalid, "%s: exceeds %d bytes", headerKey, maxKeyBytes)
	}
	return values[0], nil
}
