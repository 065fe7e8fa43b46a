package dispatcher

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch"
)

// Time bounds of a caller's connection.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
)

// listen opens the entry's listeners.
func (e *Entry) listen() error {
	config := net.ListenConfig{}
	var err error
	if e.settings.HTTPTLS != nil {
		if e.httpTLS, _, err = e.settings.HTTPTLS.Load(); err != nil {
			return err
		}
	}
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
		MaxHeaderBytes:    e.settings.Limits.HeaderBytes,
		TLSConfig:         e.httpTLS,
		ErrorLog:          e.logger.StandardLogger(nil),
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

// boundedConn leaves its listener when it closes.
type boundedConn struct {
	net.Conn
	leave func()
}

// Close closes the connection.
func (c *boundedConn) Close() error {
	c.leave()
	return c.Conn.Close()
}
