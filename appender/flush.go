package appender

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/cenkalti/backoff/v5"

	"apricotwinch"
)

// flush appends batch and settles each of its records. Once an answer was lost,
// only a read-back tells which records landed and where their first copies are.
func (a *Appender) flush(ctx context.Context, batch []*pending) {
	from := a.tail
	delays := newBackOff()
	for attempt := 1; len(batch) > 0; attempt++ {
		offset, err := a.send(ctx, batch)
		if err == nil && attempt == 1 {
			a.landed(batch, offset)
			return
		}
		if err == nil {
			a.recovered()
		}
		batch = a.settle(ctx, batch, from, delays)
		a.count(counterRepeated, len(batch))
	}
}

// send appends batch once.
func (a *Appender) send(ctx context.Context, batch []*pending) (int64, error) {
	records := make([][]byte, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.data)
	}
	sent := a.clock.Now()
	a.count(counterAppends, 1)
	var offset int64
	err := a.patience.call(ctx, 0, func(ctx context.Context) (err error) {
		offset, err = a.log.Append(ctx, a.stream, records)
		return err
	})
	if err != nil {
		a.count(counterFailures, 1)
		a.failed(sent)
	}
	return offset, err
}

// landed settles a batch whose first append was answered.
func (a *Appender) landed(batch []*pending, offset int64) {
	a.recovered()
	a.tail = offset + int64(len(batch))
	a.count(counterRecords, len(batch))
	for i, p := range batch {
		p.resolve(offset + int64(i))
	}
}

// settle reads back from offset from until the log answers, resolves the records
// found, and returns those that are absent and still waited for.
func (a *Appender) settle(ctx context.Context, batch []*pending, from int64, delays *backoff.ExponentialBackOff) []*pending {
	for {
		if err := pause(ctx, a.clock, delays); err != nil {
			a.rejectAll(batch, "the appender has stopped")
			return nil
		}
		sent := a.clock.Now()
		found, err := a.readBack(ctx, from)
		if err != nil {
			a.failed(sent)
			continue
		}
		return a.resolveFound(batch, found)
	}
}

func (a *Appender) resolveFound(batch []*pending, found readBack) []*pending {
	a.tail = found.next
	var absent []*pending
	for _, p := range batch {
		if offset, ok := found.offsets[p.id]; ok {
			a.count(counterRecords, 1)
			a.count(counterFoundBack, 1)
			p.resolve(offset)
			continue
		}
		absent = append(absent, p)
	}
	if found.gap {
		a.count(counterUnprovable, len(absent))
		a.rejectAll(absent, "the log expired records before they were read back")
		absent = nil
	}
	absent = a.waitedFor(absent)
	if len(absent) == 0 {
		a.recovered()
	}
	return absent
}

// waitedFor returns the records of batch that a caller still waits for.
func (a *Appender) waitedFor(batch []*pending) []*pending {
	a.mu.Lock()
	defer a.mu.Unlock()
	var kept []*pending
	for _, p := range batch {
		if !p.abandoned {
			kept = append(kept, p)
		}
	}
	return kept
}

func (a *Appender) rejectAll(batch []*pending, text string) {
	for _, p := range batch {
		p.reject(apricotwinch.Errorf(apricotwinch.Unknown, "append of record %s to stream %s: %s", p.id, a.stream, text))
	}
}

// readBack is what a stream holds from an offset on: the first offset of each
// record id, and whether records before the earliest offset were missed.
type readBack struct {
	offsets map[string]int64
	next    int64
	gap     bool
}

// readBack reads the stream from offset from to the end that the first read saw.
func (a *Appender) readBack(ctx context.Context, from int64) (readBack, error) {
	a.count(counterReadBacks, 1)
	back := readBack{offsets: make(map[string]int64)}
	end := int64(-1)
	for end < 0 || from < end {
		page, err := a.readPage(ctx, from)
		if err != nil {
			a.count(counterReadFails, 1)
			return readBack{}, err
		}
		if end < 0 {
			end = page.Next()
		}
		back.gap = back.gap || page.Earliest() > from
		from = back.add(page, from)
	}
	back.next = from
	return back, nil
}

// add notes the records of page, which was read from offset from, and returns
// the offset after them.
func (b *readBack) add(page Batch, from int64) int64 {
	for _, r := range page.Records() {
		if r.Offset() < from {
			continue
		}
		id := recordID(r.Data())
		if _, ok := b.offsets[id]; !ok {
			b.offsets[id] = r.Offset()
		}
		from = r.Offset() + 1
	}
	if len(page.Records()) == 0 {
		from = page.Next()
	}
	return from
}

var errNoProgress = errors.New("read returned no records before the next offset")

// readPage reads once without waiting and checks that the read got on.
func (a *Appender) readPage(ctx context.Context, from int64) (Batch, error) {
	var page Batch
	err := a.patience.call(ctx, 0, func(ctx context.Context) (err error) {
		page, err = a.log.Read(ctx, a.stream, from, 0)
		return err
	})
	if err != nil {
		return Batch{}, err
	}
	if page.Next() < from || len(page.Records()) == 0 && max(from, page.Earliest()) < page.Next() {
		return Batch{}, errNoProgress
	}
	return page, nil
}

// recordID returns the JSON field "id" of an encoded record, "" without one.
func recordID(data []byte) string {
	var record struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(data, &record); err != nil {
		return ""
	}
	return record.ID
}
