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

// dialTimeout is the default timeout of dialing a peer, including the handshake.
const dialTimeout = 2 * time.Second

// Pool keeps one connection to each peer and redials after the connection is lost.
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

// NewPool returns a pool without connections that counts events in registry.
func NewPool(security Security, registry metrics.Registry) *Pool {
	return &Pool{
		security: security,
		registry: registry,
		timeout:  dialTimeout,
		peers:    make(map[string]*peer),
	}
}

// SetDialTimeout sets the timeout of dialing a peer, including the handshake; the default is 2 s.
// It must be called before the first Call.
func (p *Pool) SetDialTimeout(timeout time.Duration) { p.timeout = timeout }

// SetSource sets the local IP address of connections; the default is the system's choice. It must be
// called before the first Call. It fails with kind Invalid unless ip is an IP address or empty.
func (p *Pool) SetSource(ip string) error {
	if ip == "" {
		return nil
	}
	address := net.ParseIP(ip)
	if address == nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "source: %q is not an IP address", ip)
	}
	p.dialer.LocalAddr = &net.TCPAddr{IP: address}
	return nil
}

// Call calls method at address and decodes the reply into result. It fails with kind Unreachable if
// the request was not sent, with Unknown if the peer may have acted on it, and otherwise with the
// kind of the error that the peer returned.
func (p *Pool) Call(ctx context.Context, address, method string, params, result any) error {
	remote, err := p.connect(ctx, address)
	if err != nil {
		return apricotwinch.Errorf(apricotwinch.Unreachable, "%s at %s: %w", method, address, err)
	}
	metrics.GetOrRegisterCounter(counterCalled+method, p.registry).Inc(1)
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

// Forget closes the connection to address; the next Call dials again.
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
	rpc := newConn(context.Background(), secured, nil, func(func() func()) jsonrpc2.Handler { return ignoreRequests{} })
	err = authenticate(ctx, p.security.key, func(ctx context.Context, method string, params, result any) error {
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
	p.add(address, remote)
	return remote, nil
}

// secure performs the TLS handshake on conn, which verifies the peer. Without TLS it returns conn.
func (p *Pool) secure(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if p.security.client == nil {
		return conn, nil
	}
	secured := tls.Client(conn, p.security.client)
	return secured, secured.HandshakeContext(ctx)
}

func (p *Pool) add(address string, remote *peer) {
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

// dropSilent closes the connection of a call whose context ended if no bytes have arrived since the
// call started: either the connection is half-open or the peer is paused.
func (p *Pool) dropSilent(address string, remote *peer, started time.Time) {
	if !remote.conn.silentSince(started) {
		return
	}
	metrics.GetOrRegisterCounter("connector.dropped_silent", p.registry).Inc(1)
	p.remove(address, remote)
	remote.conn.Close()
}

// ignoreRequests ignores requests from the server, which sends none.
type ignoreRequests struct{}

// Handle drops the request.
func (ignoreRequests) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
