package appender

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
)

// Appender appends the records of many callers to one stream of the log. Records that arrive while
// an append is in flight are sent together in the next one.
type Appender struct {
	log      Log
	stream   string
	clock    clockwork.Clock
	registry metrics.Registry
	wake     chan struct{}

	// Only Run uses these. Every record of a later append gets offset tail or a greater one.
	tail    int64
	timeout *adaptiveTimeout

	mu           sync.Mutex
	waiting      queue
	failingSince time.Time
	stopped      bool
}

// New returns an appender to stream of log. It sends nothing until Run is called.
func New(log Log, stream string, clock clockwork.Clock, registry metrics.Registry) *Appender {
	return &Appender{
		log:      log,
		stream:   stream,
		clock:    clock,
		registry: registry,
		wake:     make(chan struct{}, 1),
		timeout:  newAdaptiveTimeout(clock),
	}
}

// Append appends data, whose JSON field "id" must be id, and returns the offset of its first copy in
// the stream once it is durable. It fails with kind LogUnavailable, Overloaded or TooLarge if the
// record was not sent. It fails with kind Unknown if the record may or may not be in the stream: ctx
// or Run ended after it was sent, or the log expired records before they were read back.
func (a *Appender) Append(ctx context.Context, id string, data []byte) (int64, error) {
	p := newPending(id, data)
	if err := a.enqueue(ctx, p); err != nil {
		a.countRefusal(err)
		return 0, err
	}
	select {
	case result := <-p.done:
		return result.offset, result.err
	case <-ctx.Done():
		return a.abandon(ctx, p)
	}
}

// Failing reports whether the log has been failing for so long that Append fails at once with kind
// LogUnavailable.
func (a *Appender) Failing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shouldFailFast()
}

// Run sends records until ctx ends. Records not yet sent then fail with kind LogUnavailable, and
// records in flight with kind Unknown unless the log confirmed them.
func (a *Appender) Run(ctx context.Context) {
	defer a.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.wake:
		}
		for ctx.Err() == nil {
			batch := a.takeBatch()
			if len(batch) == 0 {
				break
			}
			a.flush(ctx, batch)
		}
	}
}

// enqueue adds p to the queue and wakes Run, or fails without sending p.
func (a *Appender) enqueue(ctx context.Context, p *pending) error {
	if err := ctx.Err(); err != nil {
		return a.unavailable("not sent: %w", err)
	}
	if len(p.data) > MaxRecordBytes {
		return apricotwinch.Errorf(apricotwinch.TooLarge, "record %s of %d bytes is over %d", p.id, len(p.data), MaxRecordBytes)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return a.unavailable("not sent: the appender has stopped")
	}
	if a.shouldFailFast() {
		return a.unavailable("not sent: the log has been failing since %s", a.failingSince.UTC().Format(time.RFC3339))
	}
	if err := a.waiting.add(p); err != nil {
		return err
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return nil
}

// abandon returns the result of p for a caller whose context ended: the actual result if it is known
// by now, and otherwise an error.
func (a *Appender) abandon(ctx context.Context, p *pending) (int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case result := <-p.done:
		return result.offset, result.err
	default:
	}
	p.abandoned = true
	if p.sent {
		metrics.GetOrRegisterCounter(counterUnknown, a.registry).Inc(1)
		return 0, apricotwinch.Errorf(apricotwinch.Unknown, "append of record %s to stream %s: %w", p.id, a.stream, ctx.Err())
	}
	a.waiting.remove(p)
	err := a.unavailable("not sent: %w", ctx.Err())
	a.countRefusal(err)
	return 0, err
}

// takeBatch returns the records of the next append and marks them sent.
func (a *Appender) takeBatch() []*pending {
	a.mu.Lock()
	defer a.mu.Unlock()
	batch := a.waiting.take()
	for _, p := range batch {
		p.sent = true
	}
	return batch
}

// stop fails all queued records and every later Append.
func (a *Appender) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	a.refuseWaiting("not sent: the appender has stopped")
}

// noteFailure records that a call sent at sent has failed. Once the log has been failing for
// failFastAfter, it fails all queued records.
func (a *Appender) noteFailure(sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failingSince.IsZero() {
		a.failingSince = sent
	}
	if a.shouldFailFast() {
		a.refuseWaiting("not sent: the log is failing")
	}
}

// noteRecovery records that the log works again.
func (a *Appender) noteRecovery() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failingSince = time.Time{}
}

func (a *Appender) shouldFailFast() bool {
	return !a.failingSince.IsZero() && a.clock.Since(a.failingSince) >= failFastAfter
}

func (a *Appender) refuseWaiting(text string) {
	for _, p := range a.waiting.drain() {
		err := a.unavailable("%s", text)
		a.countRefusal(err)
		p.reject(err)
	}
}

func (a *Appender) unavailable(format string, args ...any) error {
	return apricotwinch.Errorf(apricotwinch.LogUnavailable, "stream "+a.stream+": "+format, args...)
}
