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

// Time bounds of a caller's connection.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

// hardHeaderFactor times the bound on headers is where a connection is closed
// without the answer that headers over the bound get.
const hardHeaderFactor = 2

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

// httpServer returns the server of the interface to callers and operators.
func (e *Entry) httpServer() *http.Server {
	read := time.Duration(e.settings.Limits.ReadMillis) * time.Millisecond
	return &http.Server{
		Handler:           e.handler(),
		ReadHeaderTimeout: min(headerTimeout, read),
		ReadTimeout:       read,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    hardHeaderFactor * e.settings.Limits.HeaderBytes,
		TLSConfig:         e.httpTLS,
		ErrorLog:          e.logger.StandardLogger(nil),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, boundedOf(conn))
		},
		ConnState: e.noteState,
	}
}

// boundedListener closes connections over its limit at once.
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
		if l.enter() {
			return &boundedConn{Conn: conn, leave: sync.OnceFunc(l.leave)}, nil
		}
		l.refused.Inc(1)
		conn.Close()
	}
}

func (l *boundedListener) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

func (l *boundedListener) leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// connKey is the key of a caller's connection in the context of its requests.
type connKey struct{}

// boundedOf returns the bounded connection under conn, nil when there is none.
func boundedOf(conn net.Conn) *boundedConn {
	if secured, ok := conn.(*tls.Conn); ok {
		conn = secured.NetConn()
	}
	bounded, _ := conn.(*boundedConn)
	return bounded
}

// noteState counts connections that end while a request on them is unread: the
// head was too large, too slow or malformed, or the TLS handshake failed.
func (e *Entry) noteState(conn net.Conn, state http.ConnState) {
	bounded := boundedOf(conn)
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

// noteRead notes that the head of a request arrived whole.
func noteRead(req *http.Request) {
	if bounded, ok := req.Context().Value(connKey{}).(*boundedConn); ok && bounded != nil {
		bounded.unread.Store(false)
	}
}

// boundedConn leaves its listener when it closes.
type boundedConn struct {
	net.Conn
	leave func()
	// unread is whether something arrived that is no whole request yet.
	unread atomic.Bool
}

// Close closes the connection.
func (c *boundedConn) Close() error {
	c.leave()
	return c.Conn.Close()
}
