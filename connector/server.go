// Package connector carries typed calls between the project's processes over
// jsonrpc2 on TCP, with TLS or a shared key.
package connector

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"apricotwinch"
)

// handshakeTimeout bounds the time in which a peer proves who it is.
const handshakeTimeout = 10 * time.Second

// Names of the counters of peers that are refused.
const (
	counterTLS = "connector.refused_tls" // No certificate, or not of the authority.
	counterKey = "connector.refused_key" // The shared key was not proved.
)

// Handler answers one method; its error travels to the caller with its kind.
type Handler func(ctx context.Context, params json.RawMessage) (any, error)

// Table maps methods to their handlers.
type Table map[string]Handler

// Handle returns a Handler that decodes the parameters of a typed function.
func Handle[P, R any](f func(context.Context, P) (R, error)) Handler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, apricotwinch.Errorf(apricotwinch.Invalid, "parameters: %w", err)
		}
		return f(ctx, p)
	}
}

// Server answers calls of peers.
type Server struct {
	table    Table
	security Security
	registry metrics.Registry
	maxConns int

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server of table that holds at most maxConns connections.
func NewServer(table Table, security Security, registry metrics.Registry, maxConns int) *Server {
	return &Server{
		table:    table,
		security: security,
		registry: registry,
		maxConns: maxConns,
		conns:    make(map[net.Conn]struct{}),
	}
}

// Serve accepts connections until ctx is done or the listener fails. It closes
// the listener and every connection before it returns.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	defer s.closeAll()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		s.accept(ctx, conn)
	}
}

func (s *Server) accept(ctx context.Context, conn net.Conn) {
	refused := metrics.GetOrRegisterCounter(counterKey, s.registry)
	guard, err := newGate(s.security.key, func() { refused.Inc(1) })
	if err != nil {
		conn.Close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.maxConns {
		metrics.GetOrRegisterCounter("connector.refused_connections", s.registry).Inc(1)
		conn.Close()
		return
	}
	s.conns[conn] = struct{}{}
	go s.serveConn(ctx, conn, guard)
}

// serveConn answers the calls on one connection until it closes.
func (s *Server) serveConn(ctx context.Context, conn net.Conn, guard *gate) {
	defer s.forget(conn)
	secured, err := s.secure(ctx, conn)
	if err != nil {
		metrics.GetOrRegisterCounter(counterTLS, s.registry).Inc(1)
		return
	}
	rpc := jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(secured, codec{}), s.handler(guard), jsonrpc2.SetLogger(silent{}))
	defer rpc.Close()
	late := time.AfterFunc(handshakeTimeout, func() {
		if !guard.opened() {
			guard.refuse()
			rpc.Close()
		}
	})
	defer late.Stop()
	<-rpc.DisconnectNotify()
}

// secure returns conn with its bytes counted, and under TLS once the peer proved
// who it is.
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

// handler answers the handshake in order of arrival and every other call in a
// goroutine of its own.
func (s *Server) handler(guard *gate) jsonrpc2.Handler {
	calls := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.call).SuppressErrClosed())
	handshake := jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
		result, err := guard.handle(req.Method, params(req))
		if err != nil {
			guard.refuse()
			return nil, encodeError(err)
		}
		return result, nil
	}).SuppressErrClosed()
	return handlerFunc(func(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
		if !guard.opened() {
			handshake.Handle(ctx, conn, req)
			return
		}
		calls.Handle(ctx, conn, req)
	})
}

func (s *Server) call(ctx context.Context, _ *jsonrpc2.Conn, req *jsonrpc2.Request) (any, error) {
	handler, ok := s.table[req.Method]
	if !ok {
		return nil, encodeError(apricotwinch.Errorf(apricotwinch.NotFound, "method %q is not known", req.Method))
	}
	result, err := handler(ctx, params(req))
	if err != nil {
		return nil, encodeError(err)
	}
	return result, nil
}

// forget closes a connection and makes room for another.
func (s *Server) forget(conn net.Conn) {
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

// silent drops the library's log lines; failures are counted instead.
type silent struct{}

// Printf drops a line.
func (silent) Printf(string, ...any) {}
