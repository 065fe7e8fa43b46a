// Package interrupter is a TCP proxy that injects faults between two processes:
// it cuts, refuses, delays, holds, resets and slows their connections.
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
	// dialTimeout bounds the dial to the target.
	dialTimeout = 5 * time.Second
	// rebindEvery is the period of tries to bind the address again.
	rebindEvery = 10 * time.Millisecond
	// rebindTries bounds the tries to bind the address again.
	rebindTries = 500
)

// Direction is one way through the proxy.
type Direction int

const (
	// ToTarget is the way of requests, from the caller to the target.
	ToTarget Direction = iota
	// ToCaller is the way of answers, from the target to the caller.
	ToCaller
)

// Faults are the faults of one direction; the zero value has none.
type Faults struct {
	// Hold lets no byte and no close pass until the fault is lifted; the
	// connections stay open and then go on, as after a network partition.
	Hold bool
	// Delay is added to the travel of each byte.
	Delay time.Duration
	// BytesPerSecond caps the rate of each connection; 0 sets no cap.
	BytesPerSecond int
	// ResetAfter lets that many bytes pass in all, then resets their connection,
	// once; 0 never resets. With ToTarget it cuts a request short.
	ResetAfter int
	// ResetInstead is the number of chunks in whose place their connection is
	// reset. With ToCaller it loses an answer after its request was sent whole.
	ResetInstead int
}

// Proxy forwards connections to one target.
type Proxy struct {
	target  string
	address string
	clock   clockwork.Clock

	mu       sync.Mutex
	listener net.Listener
	faults   [2]Faults
	changed  chan struct{}
	links    map[*link]bool
	closed   bool
	running  sync.WaitGroup
}

// New returns a proxy on a free loopback port that forwards to target,
// host:port, without faults.
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
		links:    make(map[*link]bool),
	}
	p.running.Add(1)
	go p.accept(listener)
	return p, nil
}

// Address returns the address that callers dial, host:port.
func (p *Proxy) Address() string { return p.address }

// Set replaces the faults of one direction.
func (p *Proxy) Set(direction Direction, faults Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[direction] = faults
	close(p.changed)
	p.changed = make(chan struct{})
}

// Partition holds both directions: connections stay open and carry nothing.
func (p *Proxy) Partition() {
	p.Set(ToTarget, Faults{Hold: true})
	p.Set(ToCaller, Faults{Hold: true})
}

// Heal lifts the faults of both directions.
func (p *Proxy) Heal() {
	p.Set(ToTarget, Faults{})
	p.Set(ToCaller, Faults{})
}

// Cut resets every open connection; new ones are accepted.
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

// Refuse refuses new connections until Accept is called.
func (p *Proxy) Refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
}

// Accept accepts connections again on the same address. It fails with kind
// Unreachable when the address was taken meanwhile.
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
		p.running.Add(1)
		go p.accept(listener)
		return nil
	}
	return apricotwinch.Errorf(apricotwinch.Unreachable, "address %s is taken", p.address)
}

// Close resets every connection, refuses new ones and waits for its goroutines.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.listener.Close()
	p.mu.Unlock()
	p.Cut()
	p.running.Wait()
}

func (p *Proxy) accept(listener net.Listener) {
	defer p.running.Done()
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		p.running.Add(1)
		go p.connect(caller)
	}
}

func (p *Proxy) connect(caller net.Conn) {
	defer p.running.Done()
	target, err := dial(p.target)
	if err != nil {
		resetConn(caller)
		return
	}
	l := newLink(p, caller, target)
	if !p.keep(l) {
		l.reset()
		return
	}
	l.run()
	p.drop(l)
}

func (p *Proxy) keep(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.links[l] = true
	return true
}

func (p *Proxy) drop(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// current returns the faults of a direction and a channel that is closed when
// they change.
func (p *Proxy) current(direction Direction) (Faults, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults[direction], p.changed
}

// allow returns how many of size bytes may pass and whether their connection is
// reset after them.
func (p *Proxy) allow(direction Direction, size int) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults := &p.faults[direction]
	if faults.ResetInstead > 0 {
		faults.ResetInstead--
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
