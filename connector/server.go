// Package connector provides typed remote calls between the project's processes: JSON-RPC 2.0 over
// TCP, with peers authenticated by TLS, a shared key, or both.
package connector

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"apricotwinch"
)

// handshakeTimeout is the time within which a client must authenticate after it connects.
const handshakeTimeout = 10 * time.Second

// Names of the counters of connections that are refused.
const (
	counterTLS = "connector.refused_tls" // No client certificate, or of another authority.
	counterKey = "connector.refused_key" // The client did not prove that it knows the shared key.
)

// Handler handles the calls of one method. Its error is returned to the caller with its kind.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Table maps method names to their handlers.
type Table map[string]Handler

// Handle returns a Handler that decodes the parameters and calls f. It fails with kind Invalid if
// the parameters can't be decoded.
func Handle[P, R any](f func(context.Context, P) (R, error)) Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, apricotwinch.Errorf(apricotwinch.Invalid, "parameters: %w", err)
		}
		return f(ctx, p)
	}
}

// Names of the counters of calls by method, without the method: calls that this process has made,
// calls that it has handled, and the time that their handlers took, waits for locks included.
const (
	counterCalled        = "connector.called."
	counterHandled       = "connector.handled."
	counterHandledMicros = "connector.handled_micros."
)

// method is a method of a server with the counters of its calls.
type method struct {
	handler       Handler
	handled       metrics.Counter
	handledMicros metrics.Counter
}

// Server accepts connections and answers the calls of peers.
type Server struct {
	methods  map[string]method
	security Security
	registry metrics.Registry
	maxConns int
	limits   Limits

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server of the methods in table. It keeps at most maxConns connections open at a
// time, as a BoundedListener does, and counts events in registry.
func NewServer(table Table, security Security, registry metrics.Registry, maxConns int) *Server {
	methods := make(map[string]method, len(table))
	for name, handler := range table {
		methods[name] = method{
			handler:       handler,
			handled:       metrics.GetOrRegisterCounter(counterHandled+name, registry),
			handledMicros: metrics.GetOrRegisterCounter(counterHandledMicros+name, registry),
		}
	}
	return &Server{
		methods:  methods,
		security: security,
		registry: registry,
		maxConns: maxConns,
		conns:    make(map[net.Conn]struct{}),
	}
}

// SetLimits sets the limits of the messages that the server receives; the default is Limits{}, whose zeros
// stand for the defaults. It must be called before Serve.
func (s *Server) SetLimits(limits Limits) { s.limits = limits }

// Serve accepts connections until ctx is done, which closes the listener, or until the listener
// fails. It closes every connection before it returns. The error is nil when ctx is done or the
// listener was closed, and otherwise that of the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	limit := s.maxConns
	if s.limits.Connections > 0 {
		limit = min(limit, s.limits.Connections)
	}
	bounded := Bound(listener, limit, s.registry, "connector")
	stop := context.AfterFunc(ctx, func() { bounded.Close() })
	defer stop()
	defer s.closeAll()
	budget := newMessageBudget(s.limits, s.registry)
	for {
		conn, err := bounded.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		s.accept(ctx, conn, budget)
	}
}

func (s *Server) accept(ctx context.Context, conn net.Conn, budget *messageBudget) {
	refused := metrics.GetOrRegisterCounter(counterKey, s.registry)
	auth, err := newConnAuth(s.security.key, func() { refused.Inc(1) })
	if err != nil {
		conn.Close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		conn.Close()
		return
	}
	s.conns[conn] = struct{}{}
	go s.serveConn(ctx, conn, auth, budget)
}

// serveConn authenticates the peer of one connection and answers its calls until it disconnects.
func (s *Server) serveConn(ctx context.Context, conn net.Conn, auth *connAuth, budget *messageBudget) {
	defer s.closeConn(conn)
	secured, err := s.secure(ctx, conn)
	if err != nil {
		metrics.GetOrRegisterCounter(counterTLS, s.registry).Inc(1)
		return
	}
	rpc := newConn(ctx, secured, budget, func(take func() func()) jsonrpc2.Handler { return s.handler(auth, take) })
	defer rpc.Close()
	handshakeTimer := time.AfterFunc(handshakeTimeout, func() {
		if !auth.authenticated() {
			auth.countRefusal()
			rpc.Close()
		}
	})
	defer handshakeTimer.Stop()
	<-rpc.DisconnectNotify()
}

// secure returns conn with its bytes counted. With TLS, it first performs the handshake, which
// verifies the peer.
func (s *Server) secure(ctx context.Context, conn net.Conn) (net.Conn, error) {
	metered := newMeteredConn(conn, s.registry)
	if s.security.server == nil {
		return metered, nil
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	secured := tls.Server(metered, s.security.server)
	return secured, secured.HandshakeContext(ctx)
}

// handler returns the handler of one connection. It handles the calls of the handshake in order of
// arrival and every later call in its own goroutine, which then releases the call's part of the budget.
func (s *Server) handler(auth *connAuth, take func() (release func())) jsonrpc2.Handler {
	calls := jsonrpc2.HandlerWithError(s.call).SuppressErrClosed()
	handshake := jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		result, err := auth.handle(req.Method, params(req))
		if err != nil {
			auth.countRefusal()
			return nil, encodeError(err)
		}
		return result, nil
	}).SuppressErrClosed()
	return handlerFunc(func(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
		if !auth.authenticated() {
			handshake.Handle(ctx, conn, req)
			return
		}
		release := take()
		go func() {
			defer release()
			calls.Handle(ctx, conn, req)
		}()
	})
}

func (s *Server) call(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	m, ok := s.methods[req.Method]
	if !ok {
		return nil, encodeError(apricotwinch.Errorf(apricotwinch.NotFound, "unknown method %q", req.Method))
	}
	started := time.Now()
	result, err := s.callRecovering(ctx, m.handler, req)
	m.handled.Inc(1)
	m.handledMicros.Inc(time.Since(started).Microseconds())
	if err != nil {
		return nil, encodeError(err)
	}
	return result, nil
}

// callRecovering calls a handler. A panic, which would end the process with all that it serves,
// fails the one call with kind Internal instead.
func (s *Server) callRecovering(ctx context.Context, handler Handler, req *jsonrpc2.Request) (result any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			metrics.GetOrRegisterCounter("connector.panics", s.registry).Inc(1)
			result, err = nil, apricotwinch.Errorf(apricotwinch.Internal, "%s: panic: %v\n%s", req.Method, cause, debug.Stack())
		}
	}()
	return handler(ctx, params(req))
}

// closeConn closes a connection and stops counting it against maxConns.
func (s *Server) closeConn(conn net.Conn) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
}

func params(req *jsonrpc2.Request) json.RawMessage {
	if req.Params == nil {
		return json.RawMessage("{}")
	}
	return *req.Params
}

type handlerFunc func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request)

// Handle calls f.
func (f handlerFunc) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	f(ctx, conn, req)
}

// discardLogger discards the log lines of the jsonrpc2 library; failures are counted instead.
type discardLogger struct{}

// Printf discards a line.
func (discardLogger) Printf(string, ...any) {}
