package connector

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"

	"apricotwinch"
)

// Security is how peers prove who they are: mutual TLS, a shared key, or both.
type Security struct {
	server *tls.Config
	client *tls.Config
	key    []byte
}

// NewSecurity returns a security of TLS settings for each side and a shared
// key; each may be absent.
func NewSecurity(server, client *tls.Config, key []byte) Security {
	return Security{server: server, client: client, key: key}
}

// CheckListen returns an error of kind Invalid when address is not a loopback
// address and peers need neither a certificate of an authority nor a shared key.
func (s Security) CheckListen(address string) error {
	if s.server != nil && s.server.ClientAuth == tls.RequireAndVerifyClientCert || len(s.key) > 0 {
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "listen address %q: %w", address, err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return apricotwinch.Errorf(apricotwinch.Invalid,
			"listen address %q: without an authority for TLS or a shared key only a loopback address is allowed", address)
	}
	return nil
}

// Methods of the handshake with a shared key.
const (
	methodChallenge = "challenge"
	methodProve     = "prove"
)

const nonceBytes = 32

type challenge struct {
	Nonce []byte `json:"nonce"`
}

type proof struct {
	MAC []byte `json:"mac"`
}

// gate refuses every call on one connection until the peer proved the key.
type gate struct {
	key   []byte
	nonce []byte
	open  atomic.Bool
	// refuse counts the connection as refused, once.
	refuse func()
}

func newGate(key []byte, count func()) (*gate, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, err
	}
	g := &gate{key: key, nonce: nonce, refuse: sync.OnceFunc(count)}
	g.open.Store(len(key) == 0)
	return g, nil
}

// opened reports whether the peer proved the key, or none is asked for.
func (g *gate) opened() bool { return g.open.Load() }

func (g *gate) handle(method string, params json.RawMessage) (any, error) {
	if method == methodChallenge {
		return challenge{Nonce: g.nonce}, nil
	}
	var p proof
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, apricotwinch.Errorf(apricotwinch.Unauthenticated, "mac: %w", err)
	}
	if !hmac.Equal(p.MAC, sign(g.key, g.nonce)) {
		return nil, apricotwinch.Errorf(apricotwinch.Unauthenticated, "mac: the shared keys differ")
	}
	g.open.Store(true)
	return struct{}{}, nil
}

func sign(key, nonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(nonce)
	return mac.Sum(nil)
}

// prove answers the server's challenge on a new connection.
func prove(ctx context.Context, key []byte, call func(ctx context.Context, method string, params, result any) error) error {
	if len(key) == 0 {
		return nil
	}
	var c challenge
	if err := call(ctx, methodChallenge, struct{}{}, &c); err != nil {
		return err
	}
	return call(ctx, methodProve, proof{MAC: sign(key, c.Nonce)}, &struct{}{})
}
