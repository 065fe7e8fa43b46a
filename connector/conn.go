package connector

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Names of the counters of bytes read from and written to the network.
const (
	counterBytesRead    = "connector.bytes_read"
	counterBytesWritten = "connector.bytes_written"
)

// meteredConn counts the bytes read and written and records the time of the last read.
type meteredConn struct {
	net.Conn
	read     metrics.Counter
	written  metrics.Counter
	lastRead atomic.Int64 // Unix time in nanoseconds; 0 before the first read.
}

func newMeteredConn(conn net.Conn, registry metrics.Registry) *meteredConn {
	return &meteredConn{
		Conn:    conn,
		read:    metrics.GetOrRegisterCounter(counterBytesRead, registry),
		written: metrics.GetOrRegisterCounter(counterBytesWritten, registry),
	}
}

// Unwrap returns the connection whose bytes are counted.
func (c *meteredConn) Unwrap() net.Conn { return c.Conn }

// Read reads from the connection and counts the bytes read.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.read.Inc(int64(n))
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write writes to the connection and counts the bytes written.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Inc(int64(n))
	return n, err
}

// silentSince reports whether no bytes have been read since t.
func (c *meteredConn) silentSince(t time.Time) bool {
	return c.lastRead.Load() < t.UnixNano()
}
