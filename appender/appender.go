package appender

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
)

// Appender appends the records of many callers to one stream. Records that
// arrive while an append is under way go out together in the next one.
type Appender struct {
	log      Log
	stream   string
	clock    clockwork.Clock
	registry metrics.Registry
	wake     chan struct{}

	// Run alone uses these. Every later append gets tail or a greater offset.
	tail     int64
	patience *patience

	mu           sync.Mutex
	waiting      queue
	failingSince time.Time
	stopped      bool
}

// New returns an appender to stream of log. Nothing is sent before Run.
func New(log Log, stream string, clock clockwork.Clock, registry metrics.Registry) *Appender {
	return &Appender{
		log:      log,
		stream:   stream,
		clock:    clock,
		registry: registry,
		wake:     make(chan struct{}, 1),
		patience: newPatience(clock),
	}
}

// Append appends data, whose JSON field "id" is id, and returns the offset of
// its first copy in the stream once it is durable. It fails with kind
// LogUnavailable, Overloaded or TooLarge when the record was not sent, and with
// kind Unknown when ctx ended while the record may land.
func (a *Appender) Append(ctx context.Context, id string, data []byte) (int64, error) {
	p := newPending(id, data)
	if err := a.enqueue(ctx, p); err != nil {
		a.countRefusal(err)
		return 0, err
	}
	select {
	case end := <-p.done:
		return end.offset, end.err
	case <-ctx.Done():
		return a.abandon(ctx, p)
	}
}

// Failing reports whether the log has been failing for so long that Append
// refuses at once.
func (a *Appender) Failing() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failingLong()
}

// Run sends the records until ctx ends; then whatever was not sent is refused
// with kind LogUnavailable and the rest ends with kind Unknown.
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

// enqueue puts p into the queue or fails without sending it.
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
	if a.failingLong() {
		return a.unavailable("not sent: the log fails since %s", a.failingSince.UTC().Format(time.RFC3339))
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

// abandon ends the wait of a caller whose context ended.
func (a *Appender) abandon(ctx context.Context, p *pending) (int64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case end := <-p.done:
		return end.offset, end.err
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

// stop refuses whatever waits and everything that comes later.
func (a *Appender) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	a.refuseWaiting("not sent: the appender has stopped")
}

// failed notes a failed call that was sent at sent, and refuses whatever waits
// once the log has been failing for long.
func (a *Appender) failed(sent time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failingSince.IsZero() {
		a.failingSince = sent
	}
	if a.failingLong() {
		a.refuseWaiting("not sent: the log is failing")
	}
}

// recovered notes that the log works.
func (a *Appender) recovered() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failingSince = time.Time{}
}

func (a *Appender) failingLong() bool {
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
