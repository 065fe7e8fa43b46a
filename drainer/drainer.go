// Package drainer waits for work in flight before a process shuts down: once a drain has started,
// new work is refused, and the process can wait for the rest to end.
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

// New returns a drainer that accepts work.
func New() *Drainer { return &Drainer{idle: make(chan struct{})} }

// Enter counts one unit of work as in flight until the returned function is called; further calls
// of that function have no effect. Enter fails with kind Draining once a drain has started.
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

// Start starts the drain. Calls after the first have no effect.
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

// InFlight returns the number of units of work that have entered and not ended.
func (d *Drainer) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// Wait blocks until the drain has started and no work is in flight. It returns the error of ctx if
// ctx is done first.
func (d *Drainer) Wait(ctx context.Context) error {
	select {
	case <-d.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
