package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
	"apricotwinch/receiver"
	"apricotwinch/reporter"
)

// Limits of the HTTP server for local targets.
const (
	maxAnnounceBytes  = 64 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	// maxLocalConns bounds the connections of local targets, each of which announces itself on one.
	maxLocalConns = 1024
	// announceBudgetBytes holds 64 announcements of the greatest length at once.
	announceBudgetBytes = 64 * maxAnnounceBytes
	shutdownTimeout     = time.Second
)

// handler returns the HTTP handler for local targets, metrics and health checks.
func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/targets", a.handleTargetAnnounce)
	mux.Handle("GET /metrics", reporter.New(a.registry))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", a.handleReady)
	return mux
}

// serveHTTP serves local targets until ctx is done.
func (a *Agent) serveHTTP(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: a.handler(), ReadTimeout: readTimeout}
	listener = a.announcements.Attach(server, listener)
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(shutdownCtx); err != nil {
			a.logger.Warn("connections of local targets were still open at the end of the shutdown timeout", "error", err)
		}
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// announcementLimits are the limits of announcements of local targets.
var announcementLimits = receiver.Config{
	Connections: maxLocalConns, HeaderBytes: maxAnnounceBytes, HeaderTimeout: readHeaderTimeout,
	BodyBudgetBytes: announceBudgetBytes, SmallBodyBudgetBytes: announceBudgetBytes / 8, SmallBodyBytes: maxAnnounceBytes / 8,
	BodyTimeout: readTimeout, BodyStall: readTimeout, BodyMinBytesPerSecond: 1,
}

func (a *Agent) handleTargetAnnounce(w http.ResponseWriter, r *http.Request) {
	data, grant, err := a.announcements.ReadBody(w, r, maxAnnounceBytes)
	if err != nil {
		writeError(w, err)
		return
	}
	defer grant.Release()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var message messenger.TargetAnnounce
	if err := decoder.Decode(&message); err != nil {
		writeError(w, apricotwinch.Errorf(apricotwinch.Invalid, "body: %w", err))
		return
	}
	if err := a.requests.registerTarget(a.clock.Now(), message); err != nil {
		writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeError(w http.ResponseWriter, err error) {
	answer := apricotwinch.KindOf(err).ErrorResponse()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Status())
	// An error here means that the target has closed the connection.
	_ = json.NewEncoder(w).Encode(messenger.ErrorAnswer{
		Kind:             string(answer.Kind()),
		Text:             err.Error(),
		NotRun:           answer.NotRun(),
		Retryable:        answer.Retryable(),
		RetryAfterMillis: int(answer.RetryAfter().Milliseconds()),
	})
}

func (a *Agent) handleReady(w http.ResponseWriter, _ *http.Request) {
	if a.requests.drainer.Draining() {
		writeError(w, apricotwinch.Errorf(apricotwinch.Draining, "the host is draining"))
		return
	}
	w.WriteHeader(http.StatusOK)
}
