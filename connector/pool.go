package connector

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/singleflight"

	"apricotwinch"
)

// dialTimeout bounds the dial and the handshake of a new connection.
const dialTimeout = 2 * time.Second

// Pool keeps one connection to each peer and dials anew when it breaks.
type Pool struct {
	security Security
	registry metrics.Registry
	dialer   net.Dialer
	dials    singleflight.Group
	timeout  time.Duration

	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	rpc  *jsonrpc2.Conn
	conn *meteredConn
}

// NewPool returns a pool without connections.
func NewPool(security Security, registry metrics.Registry) *Pool {
	return &Pool{
		security: security,
		registry: registry,
		timeout:  dialTimeout,
		peers:    make(map[string]*peer),
	}
}

// SetDialTimeout bounds how long a connection may take to be made; it is called
// before the first call.
func (p *Pool) SetDialTimeout(timeout time.Duration) { p.timeout = timeout }

// Call calls method at address and decodes its result. It fails with kind
// Unreachable when nothing was sent, Unknown when the peer may have acted, and
// otherwise with the kind that the peer's handler gave.
func (p *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	remote, err := p.connect(ctx, address)
	if err != nil {
		return apricotwinch.Errorf(apricotwinch.Unreachable, "%s at %s: %w", method, address, err)
	}
	started := time.Now()
	stop := context.AfterFunc(ctx, func() { p.dropSilent(address, remote, started) })
	defer stop()
	if err := remote.rpc.Call(ctx, method, params, result); err != nil {
		return decodeError(method, address, err)
	}
	return nil
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	peers := p.peers
	p.peers = make(map[string]*peer)
	p.mu.Unlock()
	for _, remote := range peers {
		remote.rpc.Close()
	}
}

// Forget closes the connection to address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	remote := p.peers[address]
	delete(p.peers, address)
	p.mu.Unlock()
	if remote != nil {
		remote.rpc.Close()
	}
}

func (p *Pool) lookup(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers[address]
}

func (p *Pool) connect(ctx context.Context, address string) (*peer, error) {
	if remote := p.lookup(address); remote != nil {
		return remote, nil
	}
	dialed := p.dials.DoChan(address, func() (any, error) { return p.dial(address) })
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case outcome := <-dialed:
		if outcome.Err != nil {
			return nil, outcome.Err
		}
		return outcome.Val.(*peer), nil
	}
}

func (p *Pool) dial(address string) (*peer, error) {
	if remote := p.lookup(address); remote != nil {
		return remote, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.timeout)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	metered := newMeteredConn(conn, p.registry)
	secured, err := p.secure(ctx, metered)
	if err != nil {
		conn.Close()
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(secured, codec{}), refuseCalls{}, jsonrpc2.SetLogger(silent{}))
	err = prove(ctx, p.security.key, func(ctx context.Context, method string, params, result any) error {
		return rpc.Call(ctx, method, params, result)
	})
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		rpc.Close()
		return nil, err
	}
	remote := &peer{rpc: rpc, conn: metered}
	p.keep(address, remote)
	return remote, nil
}

// secure returns conn under TLS, when that is set, once the peer proved who it is.
func (p *Pool) secure(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if p.security.client == nil {
		return conn, nil
	}
	secured := tls.Client(conn, p.security.client)
	return secured, secured.HandshakeContext(ctx)
}

func (p *Pool) keep(address string, remote *peer) {
	p.mu.Lock()
	p.peers[address] = remote
	p.mu.Unlock()
	go func() {
		<-remote.rpc.DisconnectNotify()
		p.remove(address, remote)
	}()
}

func (p *Pool) remove(address string, remote *peer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers[address] == remote {
		delete(p.peers, address)
	}
}

// dropSilent closes a connection on which nothing arrived since a call that
// timed out started: it is half-open, or its peer is paused.
func (p *Pool) dropSilent(address string, remote *peer, started time.Time) {
	if !remote.conn.silentSince(started) {
		return
	}
	metrics.GetOrRegisterCounter("connector.dropped_silent", p.registry).Inc(1)
	p.remove(address, remote)
	remote.conn.Close()
}

// refuseCalls ignores calls of the server, which makes none.
type refuseCalls struct{}

// Handle drops the request.
func (refuseCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
