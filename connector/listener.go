package connector

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"apricotwinch/budgeter"
)

// acceptRetryDelay is the time between two attempts to accept a connection while the system has no
// descriptor or memory for it.
const acceptRetryDelay = 20 * time.Millisecond

// BoundedListener keeps at most a number of connections open. When there are more, budgeter.Connections chooses
// one that is idle, whose request arrives slowly or whose answer is taken slowly, and it is closed for the new
// one; if there is none, the new one is closed.
type BoundedListener struct {
	net.Listener
	connections    *budgeter.Connections
	maxHeaderLines int64
	evicted        metrics.Counter
	refused        metrics.Counter
	lines          metrics.Counter
	heads          metrics.Counter
	failed         metrics.Counter
}

// Bound returns a listener that keeps at most limit connections of listener open, and counts under names
// that begin with name.
func Bound(listener net.Listener, limit int, registry metrics.Registry, name string) *BoundedListener {
	return &BoundedListener{
		Listener:    listener,
		connections: budgeter.NewConnections(limit),
		evicted:     metrics.GetOrRegisterCounter(name+".evicted_connections", registry),
		refused:     metrics.GetOrRegisterCounter(name+".refused_connections", registry),
		lines:       metrics.GetOrRegisterCounter(name+".refused_header_lines", registry),
		heads:       metrics.GetOrRegisterCounter(name+".refused_head", registry),
		failed:      metrics.GetOrRegisterCounter(name+".accept_failures", registry),
	}
}

// Listen listens on a TCP address. Accepted connections have a receive buffer and a send buffer of the given
// sizes, in bytes; a receive buffer of 0 leaves both to the system, which lets them grow to megabytes.
func Listen(address string, receiveBuffer, sendBuffer int) (net.Listener, error) {
	config := net.ListenConfig{}
	if receiveBuffer > 0 {
		// The buffers of accepted connections have the size that the listener's has, from their first byte on.
		config.Control = func(_, _ string, raw syscall.RawConn) error {
			var err error
			if controlErr := raw.Control(func(fd uintptr) {
				err = errors.Join(
					syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
					syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer))
			}); controlErr != nil {
				return controlErr
			}
			return err
		}
	}
	return config.Listen(context.Background(), "tcp", address)
}

// Accept returns the next connection. It waits while the system has no descriptor or memory for one, since
// such an error would end the process.
func (l *BoundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if isExhausted(err) {
			l.failed.Inc(1)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err != nil {
			return nil, err
		}
		bounded := &BoundedConn{Conn: conn, listener: l}
		place, evict, ok := l.connections.Open(time.Now(), PeerOf(conn.RemoteAddr().String()), func() { conn.Close() })
		if evict != nil {
			l.evicted.Inc(1)
			evict()
		}
		if !ok {
			l.refused.Inc(1)
			conn.Close()
			continue
		}
		bounded.place = place
		return bounded, nil
	}
}

// isExhausted reports whether an error says that the system has no descriptor or memory left for a
// connection.
func isExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

// PeerOf returns the peer, in the terms of package budgeter, of a remote address: its IP address.
func PeerOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// Attach makes server keep the phases of the listener's connections current, and bounds the lines of the
// head of a request; 0 for no bound. A handler gets its connection with ConnOf. It must be called before
// server serves.
func (l *BoundedListener) Attach(server *http.Server, maxHeaderLines int64) {
	l.maxHeaderLines = maxHeaderLines
	connState, connContext := server.ConnState, server.ConnContext
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if bounded := boundedConnOf(conn); bounded != nil {
			switch state {
			case http.StateActive:
				bounded.SetPhase(budgeter.Receiving)
			case http.StateIdle:
				bounded.head.Store(headNone)
				bounded.SetPhase(budgeter.Idle)
			case http.StateClosed:
				if bounded.head.Load() > headNone {
					l.heads.Inc(1)
				}
			default:
			}
		}
		if connState != nil {
			connState(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, boundedConnOf(conn))
	}
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// ConnOf returns the connection of a request's context, or nil if its listener is not bounded.
func ConnOf(ctx context.Context) *BoundedConn {
	conn, _ := ctx.Value(connKey{}).(*BoundedConn)
	return conn
}

// boundedConnOf returns the bounded connection under conn, or nil if there is none.
func boundedConnOf(conn net.Conn) *BoundedConn {
	for {
		switch c := conn.(type) {
		case *BoundedConn:
			return c
		case *tls.Conn:
			conn = c.NetConn()
		case interface{ Unwrap() net.Conn }:
			conn = c.Unwrap()
		default:
			return nil
		}
	}
}

// BoundedConn is a connection of a BoundedListener.
type BoundedConn struct {
	net.Conn
	listener *BoundedListener
	place    *budgeter.Connection
	// head is headNone, headDone, or the number of lines of the head that arrives, counted from 1 on.
	head atomic.Int64
	// tail holds the last bytes that were read of the head. Only Read uses it.
	tail []byte
}

// States of the head of a request.
const (
	// headNone stands for a head of which nothing has arrived.
	headNone = 0
	// headDone stands for a head that was read, so that its lines are no longer counted.
	headDone = -1
)

// SetPhase records what the connection is doing. It may be called on a nil connection.
func (c *BoundedConn) SetPhase(phase budgeter.Phase) {
	if c != nil {
		c.listener.connections.SetPhase(time.Now(), c.place, phase)
	}
}

// MarkHeadRead records that the head of a request was read. It may be called on a nil connection.
func (c *BoundedConn) MarkHeadRead() {
	if c != nil {
		c.head.Store(headDone)
	}
}

// errHeaderLines is the error of a connection whose head has too many lines.
var errHeaderLines = errors.New("too many header lines")

// Read reads from the connection. It fails once the head of a request has too many lines: a server keeps a
// hundred bytes for each, however short they are.
func (c *BoundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 || c.listener.maxHeaderLines == 0 {
		return n, err
	}
	lines := c.head.Load()
	if lines == headDone {
		return n, err
	}
	if lines == headNone {
		lines, c.tail = 1, c.tail[:0]
	}
	end := endOfHead(c.tail, p[:n])
	if end >= 0 {
		c.head.Store(headDone)
		lines += int64(bytes.Count(p[:end], newline))
	} else {
		lines += int64(bytes.Count(p[:n], newline))
		c.head.Store(lines)
		c.tail = append(c.tail[:0], p[max(0, n-len(headEnd)+1):n]...)
	}
	if lines > c.listener.maxHeaderLines {
		c.listener.lines.Inc(1)
		c.Conn.Close()
		return 0, errHeaderLines
	}
	return n, err
}

var (
	newline = []byte("\n")
	// headEnd is the longest end of the head of a request.
	headEnd = []byte("\n\r\n")
)

// endOfHead returns the index in data of the empty line that ends the head of a request, or -1 if there is
// none. tail holds the bytes before data.
func endOfHead(tail, data []byte) int {
	joint := append(append(make([]byte, 0, 2*len(headEnd)), tail...), data[:min(len(data), len(headEnd))]...)
	if bytes.Contains(joint, headEnd) || bytes.Contains(joint, []byte("\n\n")) {
		return 0
	}
	if i := bytes.Index(data, headEnd); i >= 0 {
		return i
	}
	return bytes.Index(data, []byte("\n\n"))
}

// Close closes the connection, which then no longer counts.
func (c *BoundedConn) Close() error {
	c.listener.connections.Close(c.place)
	return c.Conn.Close()
}

// CloseWrite closes the sending side, so that a server can send its last answer before it closes a
// connection on which more arrives.
func (c *BoundedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
