package appender

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rcrowley/go-metrics"
)

// View is the result of one read of a followed stream.
type View struct {
	records  []Record
	earliest int64
	next     int64
	asOf     time.Time
	gap      bool
	complete bool
}

// NewView returns the view of batch, the result of a read from offset from that was issued at asOf.
func NewView(batch Batch, from int64, asOf time.Time) View {
	records := batch.Records()
	for len(records) > 0 && records[0].Offset() < from {
		records = records[1:]
	}
	end := max(from, batch.Earliest())
	if len(records) > 0 {
		end = records[len(records)-1].Offset() + 1
	}
	return View{
		records:  records,
		earliest: batch.Earliest(),
		next:     batch.Next(),
		asOf:     asOf,
		gap:      batch.Earliest() > from,
		complete: end >= batch.Next(),
	}
}

// Records returns the records that are new since the previous view, in order of offset.
func (v View) Records() []Record { return v.records }

// Earliest returns the first offset that the log still holds.
func (v View) Earliest() int64 { return v.earliest }

// Next returns the offset that the next append will get.
func (v View) Next() int64 { return v.next }

// AsOf returns the time just before the read was issued. A complete view contains every record that
// was durable at that time.
func (v View) AsOf() time.Time { return v.asOf }

// Complete reports whether the records reach the end of the stream.
func (v View) Complete() bool { return v.complete }

// Gap reports whether the log expired records before the follower read them. State built from the
// stream is then incomplete until a snapshot record is applied.
func (v View) Gap() bool { return v.gap }

// contiguous reports whether the records start at offset from, or at the earliest offset if that is
// greater, and have consecutive offsets.
func (v View) contiguous(from int64) bool {
	next := max(from, v.earliest)
	for _, r := range v.records {
		if r.Offset() != next {
			return false
		}
		next++
	}
	return true
}

// Follower follows one stream by long polling.
type Follower struct {
	log      Log
	stream   string
	clock    clockwork.Clock
	registry metrics.Registry
	handle   func(View)
	timeout  *adaptiveTimeout
}

// NewFollower returns a follower that passes each view of stream to handle.
func NewFollower(log Log, stream string, clock clockwork.Clock, registry metrics.Registry, handle func(View)) *Follower {
	return &Follower{
		log:      log,
		stream:   stream,
		clock:    clock,
		registry: registry,
		handle:   handle,
		timeout:  newAdaptiveTimeout(clock),
	}
}

// Run follows the stream from offset from until ctx ends. It calls the handle function after each
// read, even if there is no new record, because the time of the view has advanced. The first read
// doesn't wait for new records. After a failed read, Run backs off and retries.
func (f *Follower) Run(ctx context.Context, from int64) {
	delays := newBackOff()
	for wait := time.Duration(0); ctx.Err() == nil; wait = pollWait {
		view, err := f.poll(ctx, from, wait)
		if err != nil {
			f.count(counterPollFailures, 1)
			_ = waitBackOff(ctx, f.clock, delays) // The loop ends with ctx.
			continue
		}
		delays.Reset()
		f.count(counterFollowed, len(view.records))
		if view.gap {
			f.count(counterGaps, 1)
		}
		from = f.advance(from, view)
		f.handle(view)
	}
}

var (
	errOffsetsDecreased = errors.New("next offset of the stream has decreased")
	errRecordMissing    = errors.New("read omitted a record that the log still holds")
)

func (f *Follower) poll(ctx context.Context, from int64, wait time.Duration) (View, error) {
	f.count(counterPolls, 1)
	asOf := f.clock.Now()
	var batch Batch
	err := f.timeout.call(ctx, pollWait, func(ctx context.Context) (err error) {
		batch, err = f.log.Read(ctx, f.stream, from, wait)
		return err
	})
	if err != nil {
		return View{}, err
	}
	if batch.Next() < from {
		return View{}, errOffsetsDecreased
	}
	view := NewView(batch, from, asOf)
	if len(view.records) == 0 && !view.complete {
		return View{}, errNoProgress
	}
	if !view.contiguous(from) {
		return View{}, errRecordMissing
	}
	return view, nil
}

// advance returns the offset to read from after view.
func (f *Follower) advance(from int64, view View) int64 {
	if n := len(view.records); n > 0 {
		return view.records[n-1].Offset() + 1
	}
	return max(from, view.earliest)
}

func (f *Follower) count(name string, n int) {
	metrics.GetOrRegisterCounter(name, f.registry).Inc(int64(n))
}
