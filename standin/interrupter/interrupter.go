// Package interrupter is a TCP proxy that injects faults between two processes:
// it refuses, delays, holds, resets and throttles their connections.
package interrupter

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"apricotwinch"
)

const (
	// dialTimeout is the timeout of a connection attempt to the target.
	dialTimeout = 5 * time.Second
	// rebindEvery is the time between two attempts to bind the address again.
	rebindEvery = 10 * time.Millisecond
	// rebindTries is the largest number of attempts to bind the address again.
	rebindTries = 500
)

// Direction is the direction of data through the proxy.
type Direction int

const (
	// ToTarget is the direction of requests, from the caller to the target.
	ToTarget Direction = iota
	// ToCaller is the direction of responses, from the target to the caller.
	ToCaller
)

// Faults are the faults of one direction; the zero value has none.
type Faults struct {
	// Hold forwards no data and no close until the fault is lifted. The connections stay open and
	// continue afterwards, as after a network partition.
	Hold bool
	// Delay is the time that each byte is held back.
	Delay time.Duration
	// BytesPerSecond limits the rate of each connection; 0 sets no limit.
	BytesPerSecond int
	// ResetAfter is the number of bytes, over all connections, after which the connection that
	// carries the last of them is reset, once; 0 means no reset. With ToTarget, the target gets a
	// truncated request.
	ResetAfter int
	// ResetChunks is the number of chunks that are dropped and whose connections are reset. With
	// ToCaller, a response is lost although the target got the whole request.
	ResetChunks int
}

// Proxy forwards connections to one target.
type Proxy struct {
	target  string
	address string
	clock   clockwork.Clock

	mu         sync.Mutex
	listener   net.Listener
	faults     [2]Faults
	isCutOff   func(ip string) bool
	changed    chan struct{}
	links      map[*link]bool
	closed     bool
	goroutines sync.WaitGroup
}

// New returns a proxy without faults that listens on a free loopback port and forwards to target
// (host:port).
func New(target string, clock clockwork.Clock) (*Proxy, error) {
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		target:   target,
		address:  listener.Addr().String(),
		clock:    clock,
		listener: listener,
		changed:  make(chan struct{}),
		isCutOff: func(string) bool { return false },
		links:    make(map[*link]bool),
	}
	p.goroutines.Add(1)
	go p.accept(listener)
	return p, nil
}

// Address returns the address (host:port) that callers dial.
func (p *Proxy) Address() string { return p.address }

// Set replaces the faults of one direction.
func (p *Proxy) Set(direction Direction, faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[direction] = faults
	p.broadcast()
}

// PartitionFrom holds both directions of the connections of some callers, open and new ones, until
// it is called again; isCutOff reports whether the caller with an IP address is one of them.
func (p *Proxy) PartitionFrom(isCutOff func(ip string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCutOff = isCutOff
	p.broadcast()
}

// broadcast wakes the links that wait for a change of the faults; p.mu is held.
func (p *Proxy) broadcast() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Partition holds both directions: connections stay open but carry no data.
func (p *Proxy) Partition() {
	p.Set(ToTarget, Faults{Hold: true})
	p.Set(ToCaller, Faults{Hold: true})
}

// Heal lifts the faults of both directions, for all callers.
func (p *Proxy) Heal() {
	p.PartitionFrom(func(string) bool { return false })
	p.Set(ToTarget, Faults{})
	p.Set(ToCaller, Faults{})
}

// Cut resets every open connection. New connections are still accepted.
func (p *Proxy) Cut() {
	p.mu.Lock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	p.mu.Unlock()
	for _, l := range links {
		l.reset()
	}
}

// Refuse refuses new connections until Accept is called. Open connections continue.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
}

// Accept accepts connections again on the same address. It fails with kind Unreachable if the
// address can't be bound any more.
func (p *Proxy) Accept() error {
	for range rebindTries {
		listener, err := listen(p.address)
		if err != nil {
			p.clock.Sleep(rebindEvery)
			continue
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.listener = listener
		p.goroutines.Add(1)
		go p.accept(listener)
		return nil
	}
	return apricotwinch.Errorf(apricotwinch.Unreachable, "address %s is in use", p.address)
}

// Close resets every connection, refuses new ones and waits for the proxy's goroutines to end.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.listener.Close()
	p.mu.Unlock()
	p.Cut()
	p.goroutines.Wait()
}

func (p *Proxy) accept(listener net.Listener) {
	defer p.goroutines.Done()
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		p.goroutines.Add(1)
		go p.connect(caller)
	}
}

func (p *Proxy) connect(caller net.Conn) {
	defer p.goroutines.Done()
	target, err := dial(p.target)
	if err != nil {
		resetConn(caller)
		return
	}
	l := newLink(p, caller, target)
	if !p.addLink(l) {
		l.reset()
		return
	}
	l.run()
	p.removeLink(l)
}

func (p *Proxy) addLink(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.links[l] = true
	return true
}

func (p *Proxy) removeLink(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// currentFaults returns the faults of a direction of a caller's connections, and a channel that is
// closed when they change.
func (p *Proxy) currentFaults(direction Direction, callerIP string) (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults := p.faults[direction]
	faults.Hold = faults.Hold || p.isCutOff(callerIP)
	return faults, p.changed
}

// allow returns how many of size bytes to forward, and whether to reset the connection after them.
func (p *Proxy) allow(direction Direction, size int) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults := &p.faults[direction]
	if faults.ResetChunks > 0 {
		faults.ResetChunks--
		return 0, true
	}
	if faults.ResetAfter == 0 {
		return size, false
	}
	if size < faults.ResetAfter {
		faults.ResetAfter -= size
		return size, false
	}
	passed := faults.ResetAfter
	faults.ResetAfter = 0
	return passed, true
}

func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

func dial(address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(context.Background(), "tcp", address)
}
