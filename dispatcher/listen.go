package dispatcher

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
)

// Timeouts of a caller's connection.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

// maxHeaderFactor times the limit on headers is the size from which a connection is
// closed without the error answer that smaller headers over the limit get.
const maxHeaderFactor = 2

// listen opens the entry's listeners.
func (e *Entry) listen() error {
	config := net.ListenConfig{}
	var err error
	if e.httpListener, err = config.Listen(context.Background(), "tcp", e.settings.HTTP); err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "http: %w", err)
	}
	if e.peerListener, err = config.Listen(context.Background(), "tcp", e.settings.Peer); err != nil {
		e.httpListener.Close()
		return apricotwinch.Errorf(apricotwinch.Invalid, "peer: %w", err)
	}
	e.address = e.settings.Advertise
	if e.address == "" {
		e.address = e.peerListener.Addr().String()
	}
	refused := metrics.GetOrRegisterCounter("refused.connections", e.registry)
	e.httpListener = &boundedListener{Listener: e.httpListener, limit: e.settings.Limits.Connections, refused: refused}
	return nil
}

// httpServer returns the HTTP server for callers and operators.
func (e *Entry) httpServer() *http.Server {
	read := time.Duration(e.settings.Limits.ReadMillis) * time.Millisecond
	return &http.Server{
		Handler:           e.handler(),
		ReadHeaderTimeout: min(headerTimeout, read),
		ReadTimeout:       read,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderFactor * e.settings.Limits.HeaderBytes,
		TLSConfig:         e.httpTLS,
		ErrorLog:          e.logger.StandardLogger(nil),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, boundedConnOf(conn))
		},
		ConnState: e.trackConnState,
	}
}

// boundedListener keeps at most limit connections open and closes any further one at
// once.
type boundedListener struct {
	net.Listener
	limit   int
	refused metrics.Counter

	mu   sync.Mutex
	open int
}

// Accept returns the next connection within the limit.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acquire() {
			return &boundedConn{Conn: conn, release: sync.OnceFunc(l.release)}, nil
		}
		l.refused.Inc(1)
		conn.Close()
	}
}

func (l *boundedListener) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

func (l *boundedListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// boundedConnOf returns the bounded connection under conn, or nil if there is none.
func boundedConnOf(conn net.Conn) *boundedConn {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	bounded, _ := conn.(*boundedConn)
	return bounded
}

// trackConnState counts connections that close before the head of a request on them
// was read: the head was too large, too slow or malformed, or the TLS handshake
// failed.
func (e *Entry) trackConnState(conn net.Conn, state http.ConnState) {
	bounded := boundedConnOf(conn)
	if bounded == nil {
		return
	}
	switch state {
	case http.StateNew:
		bounded.unread.Store(e.httpTLS != nil)
	case http.StateActive:
		bounded.unread.Store(true)
	case http.StateClosed:
		if bounded.unread.Load() {
			e.count("refused.unread")
		}
	}
}

// markHeadRead records that the head of a request was read completely.
func markHeadRead(req *http.Request) {
	if bounded, ok := req.Context().Value(connKey{}).(*boundedConn); ok && bounded != nil {
		bounded.unread.Store(false)
	}
}

// boundedConn frees its place in the limit of its listener when it closes.
type boundedConn struct {
	net.Conn
	release func()
	// unread is whether data may have arrived that is not yet the complete head of a
	// request.
	unread atomic.Bool
}

// Close closes the connection and frees its place.
func (c *boundedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
