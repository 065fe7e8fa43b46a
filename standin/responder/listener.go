package responder

import (
	"net"
	"sync"
	"sync/atomic"
)

// LimitConnections returns a listener that holds at most the given number of open connections. It
// immediately closes each connection that exceeds the limit.
func LimitConnections(listener net.Listener, connections int) net.Listener {
	return &limitedListener{Listener: listener, limit: int64(connections)}
}

type limitedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { l.open.Add(-1) })}, nil
		}
		l.open.Add(-1)
		conn.Close()
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection and frees its place for another one.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
