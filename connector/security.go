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

// Security defines how peers authenticate each other: by mutual TLS, by a shared key, or by both.
// The zero value requires no authentication.
type Security struct {
	server *tls.Config
	client *tls.Config
	key    []byte
}

// NewSecurity returns a Security with the TLS configurations of the server and the client side and
// a shared key. Each of them may be nil.
func NewSecurity(server, client *tls.Config, key []byte) Security {
	return Security{server: server, client: client, key: key}
}

// CheckListen returns an error of kind Invalid if peers could connect to address from other hosts
// without authentication: address is not a loopback address, and neither client certificates nor a
// shared key is required.
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

// Methods of the shared-key handshake.
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

// connAuth is the server side of the shared-key handshake on one connection: every call is refused
// until the peer has proved that it knows the key.
type connAuth struct {
	key      []byte
	nonce    []byte
	verified atomic.Bool
	// countRefusal counts the connection as refused; only its first call counts.
	countRefusal func()
}

func newConnAuth(key []byte, count func()) (*connAuth, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, err
	}
	a := &connAuth{key: key, nonce: nonce, countRefusal: sync.OnceFunc(count)}
	a.verified.Store(len(key) == 0)
	return a, nil
}

// authenticated reports whether the peer has proved that it knows the key, or no key is required.
func (a *connAuth) authenticated() bool { return a.verified.Load() }

func (a *connAuth) handle(method string, params json.RawMessage) (any, error) {
	if method == methodChallenge {
		return challenge{Nonce: a.nonce}, nil
	}
	var p proof
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, apricotwinch.Errorf(apricotwinch.Unauthenticated, "mac: %w", err)
	}
	if !hmac.Equal(p.MAC, computeMAC(a.key, a.nonce)) {
		return nil, apricotwinch.Errorf(apricotwinch.Unauthenticated, "mac: the shared keys differ")
	}
	a.verified.Store(true)
	return struct{}{}, nil
}

func computeMAC(key, nonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(nonce)
	return mac.Sum(nil)
}

// authenticate performs the client side of the shared-key handshake on a new connection: it answers
// the server's challenge. Without a key it does nothing.
func authenticate(ctx context.Context, key []byte, call func(ctx context.Context, method string, params, result any) error) error {
	if len(key) == 0 {
		return nil
	}
	var c challenge
	if err := call(ctx, methodChallenge, struct{}{}, &c); err != nil {
		return err
	}
	return call(ctx, methodProve, proof{MAC: computeMAC(key, c.Nonce)}, &struct{}{})
}
