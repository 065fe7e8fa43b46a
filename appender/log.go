// Package appender writes to and reads from the platform's append-only log. It batches appends,
// reads the stream back when the reply to an append is lost, and backs off during outages.
package appender

import (
	"context"
	"fmt"
	"time"
)

// Record is an encoded record and its offset in a stream.
type Record struct {
	offset int64
	data   []byte
}

// NewRecord returns a record at offset of its stream.
func NewRecord(offset int64, data []byte) Record { return Record{offset: offset, data: data} }

// Offset returns the position of the record in its stream, from 0.
func (r Record) Offset() int64 { return r.offset }

// Data returns the encoded record.
func (r Record) Data() []byte { return r.data }

// Batch is the result of one read.
type Batch struct {
	records  []Record
	earliest int64
	next     int64
}

// NewBatch returns the result of a read: records in order, the earliest offset
// that the log still holds and the next offset that an append will get.
func NewBatch(records []Record, earliest, next int64) Batch {
	return Batch{records: records, earliest: earliest, next: next}
}

// Records returns the records in order of offset.
func (b Batch) Records() []Record { return b.records }

// Earliest returns the first offset that the log still holds.
func (b Batch) Earliest() int64 { return b.earliest }

// Next returns the offset that the next append will get.
func (b Batch) Next() int64 { return b.next }

// Log is the platform's log. A driver supplies its functions. Every function fails with an error of
// kind LogUnavailable during an outage.
type Log struct {
	// Append adds records to a stream and returns the offset of the first. After
	// an error the records may or may not be in the stream.
	Append func(ctx context.Context, stream string, records [][]byte) (int64, error)
	// Read returns records from offset from on. If there are none yet, it waits up to wait for one.
	// If from is less than the earliest offset, it reads from the earliest one.
	Read func(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
}

// Names of the streams of the log.
const (
	// StreamClaims carries ClaimRecord.
	StreamClaims = "claims"
	// StreamSettings carries EditRecord.
	StreamSettings = "settings"
)

// JobsStream returns the name of the stream of a partition's LedgerRecord.
func JobsStream(partition int) string { return fmt.Sprintf("jobs-%d", partition) }

// KeysStream returns the name of the stream of a partition's KeyRecord.
func KeysStream(partition int) string { return fmt.Sprintf("keys-%d", partition) }
