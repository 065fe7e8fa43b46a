// Package drainer lets work in flight end before a process does: once a drain
// starts nothing new enters, and the process waits for what entered before.
package drainer

import (
	"context"
	"sync"

	"apricotwinch"
)

// Drainer counts work in flight. It is safe for concurrent use.
type Drainer struct {
	mu       sync.Mutex
	inFlight int
	started  bool
	idle     chan struct{}
}

// New returns a drainer that lets work in.
func New() *Drainer { return &Drainer{idle: make(chan struct{})} }

// Enter counts one piece of work until the function that it returns is called.
// It fails with kind Draining once a drain has started.
func (d *Drainer) Enter() (func(), error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.started {
		return nil, apricotwinch.Errorf(apricotwinch.Draining, "the process is shutting down")
	}
	d.inFlight++
	return sync.OnceFunc(d.leave), nil
}

func (d *Drainer) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.closeWhenIdle()
}

// Start starts the drain; only the first call counts.
func (d *Drainer) Start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.started {
		return
	}
	d.started = true
	d.closeWhenIdle()
}

func (d *Drainer) closeWhenIdle() {
	if d.started && d.inFlight == 0 {
		close(d.idle)
	}
}

// Draining reports whether the drain has started.
func (d *Drainer) Draining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

// InFlight returns the number of pieces of work that entered and have not ended.
func (d *Drainer) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// Wait returns nil once the drain has started and nothing is in flight, or the
// error of ctx when that ends first.
func (d *Drainer) Wait(ctx context.Context) error {
	select {
	case <-d.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
