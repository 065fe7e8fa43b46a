package appender

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/cenkalti/backoff/v5"

	"apricotwinch"
)

// flush appends batch until each of its records has a result. After the reply to an append is lost,
// only reading the stream back shows which records are in it and where their first copies are. An
// append that is answered after an earlier attempt failed is read back too, because that attempt may
// have added copies at lower offsets.
func (a *Appender) flush(ctx context.Context, batch []*pending) {
	from := a.tail
	delays := newBackOff()
	for attempt := 1; len(batch) > 0; attempt++ {
		offset, err := a.send(ctx, batch)
		if err == nil && attempt == 1 {
			a.resolveAll(batch, offset)
			return
		}
		if err == nil {
			a.noteRecovery()
		}
		batch = a.reconcile(ctx, batch, from, delays)
		a.count(counterAppendedAgain, len(batch))
	}
}

// send makes one attempt to append batch and returns the offset of its first record.
func (a *Appender) send(ctx context.Context, batch []*pending) (int64, error) {
	records := make([][]byte, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.data)
	}
	sent := a.clock.Now()
	a.count(counterAppends, 1)
	var offset int64
	err := a.timeout.call(ctx, 0, func(ctx context.Context) (err error) {
		offset, err = a.log.Append(ctx, a.stream, records)
		return err
	})
	if err != nil {
		a.count(counterFailures, 1)
		a.noteFailure(sent)
	}
	return offset, err
}

// resolveAll resolves the records of a batch whose first append succeeded at offset.
func (a *Appender) resolveAll(batch []*pending, offset int64) {
	a.noteRecovery()
	a.tail = offset + int64(len(batch))
	a.count(counterRecords, len(batch))
	for i, p := range batch {
		p.resolve(offset + int64(i))
	}
}

// reconcile reads the stream back from offset from, retrying until the log answers. It resolves the
// records that it finds and returns the absent ones that a caller still waits for.
func (a *Appender) reconcile(ctx context.Context, batch []*pending, from int64, delays *backoff.ExponentialBackOff) []*pending {
	for {
		if err := waitBackOff(ctx, a.clock, delays); err != nil {
			a.rejectAll(batch, "the appender has stopped")
			return nil
		}
		sent := a.clock.Now()
		found, err := a.readBack(ctx, from)
		if err != nil {
			a.noteFailure(sent)
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
			a.count(counterFoundByReadBack, 1)
			p.resolve(offset)
			continue
		}
		absent = append(absent, p)
	}
	if found.gap {
		a.count(counterExpiredUnread, len(absent))
		a.rejectAll(absent, "the log expired records before they were read back")
		absent = nil
	}
	absent = a.withoutAbandoned(absent)
	if len(absent) == 0 {
		a.noteRecovery()
	}
	return absent
}

// withoutAbandoned returns the records of batch that a caller still waits for.
func (a *Appender) withoutAbandoned(batch []*pending) []*pending {
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

// readBack is the content of a stream from an offset on: the first offset of each record id, the
// offset after the last record that was read, and whether the log had already expired some of the
// records.
type readBack struct {
	offsets map[string]int64
	next    int64
	gap     bool
}

// readBack reads the stream from offset from to the end of the stream at the time of the first read.
func (a *Appender) readBack(ctx context.Context, from int64) (readBack, error) {
	a.count(counterReadBacks, 1)
	result := readBack{offsets: make(map[string]int64)}
	end := int64(-1)
	for end < 0 || from < end {
		page, err := a.readPage(ctx, from)
		if err != nil {
			a.count(counterReadFailures, 1)
			return readBack{}, err
		}
		if end < 0 {
			end = page.Next()
		}
		result.gap = result.gap || page.Earliest() > from
		from = result.add(page, from)
	}
	result.next = from
	return result, nil
}

// add adds the records of page, which was read from offset from, and returns the offset to read from
// next.
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

// readPage reads once without waiting for new records. It fails with errNoProgress if the log holds
// records from offset from on but the read returned none.
func (a *Appender) readPage(ctx context.Context, from int64) (Batch, error) {
	var page Batch
	err := a.timeout.call(ctx, 0, func(ctx context.Context) (err error) {
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

// recordID returns the JSON field "id" of an encoded record, or "" if it has none.
func recordID(data []byte) string {
	var record struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(data, &record); err != nil {
		return ""
	}
	return record.ID
}
