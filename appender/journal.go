package appender

import (
	"context"
	"fmt"

	"apricotwinch"
)

// KeyedRecord sets the value of one key of a journal.
type KeyedRecord struct {
	key   string
	value []byte
}

// NewKeyedRecord returns a record that sets key to value; an empty value deletes the key.
func NewKeyedRecord(key string, value []byte) KeyedRecord {
	return KeyedRecord{key: key, value: value}
}

// Key returns the key.
func (r KeyedRecord) Key() string { return r.key }

// Value returns the value, which is empty for a deleted key.
func (r KeyedRecord) Value() []byte { return r.value }

// Producer identifies the writer of an append to a journal. Once an epoch of a producer name has
// appended, appends of the same name with a lower epoch are rejected permanently. Within an epoch,
// the append with a given sequence number takes effect once, no matter how often it is sent.
type Producer struct {
	name     string
	epoch    int64
	sequence int64
}

// NewProducer returns a producer in epoch whose next append has the number sequence.
func NewProducer(name string, epoch, sequence int64) Producer {
	return Producer{name: name, epoch: epoch, sequence: sequence}
}

// Name returns the name of the producer.
func (p Producer) Name() string { return p.name }

// Epoch returns the epoch.
func (p Producer) Epoch() int64 { return p.epoch }

// Sequence returns the sequence number of the next append.
func (p Producer) Sequence() int64 { return p.sequence }

// Next returns the producer for the append that follows this one.
func (p Producer) Next() Producer {
	p.sequence++
	return p
}

// KeyedLog is a log that keeps the newest record of each key indefinitely. A driver supplies its
// functions. They fail with kind LogUnavailable if nothing was done, with Unknown if the append may or
// may not have taken effect, and with StaleEpoch if a later epoch, or another writer of the same
// epoch, has appended.
type KeyedLog struct {
	// Append appends records to a journal, all of them or none, and is fenced by the producer's
	// epoch.
	Append func(ctx context.Context, journal string, producer Producer, records []KeyedRecord) error
	// Put appends records without a producer, so that no epoch fences the writer.
	Put func(ctx context.Context, journal string, records []KeyedRecord) error
	// Newest returns the newest record of every key of a journal.
	Newest func(ctx context.Context, journal string) ([]KeyedRecord, error)
}

// Names of the journals of a deployment.
const (
	// JournalWork holds the owner's record, the workloads and their progress.
	JournalWork = "work"
	// JournalMembers holds the records of the entries.
	JournalMembers = "members"
	// JournalOwner holds a copy of the owner's record, for readers that need nothing else of
	// JournalWork.
	JournalOwner = "owner"
)

// FencedError is the cause of an error of kind StaleEpoch of a store that names the epoch that
// fences the append.
type FencedError struct {
	// Epoch is that epoch.
	Epoch int64
}

// Error returns the epoch as text.
func (e FencedError) Error() string { return fmt.Sprintf("fenced by epoch %d", e.Epoch) }

// IsFinal reports whether an append that returned err needs no retry: it succeeded, or it was
// rejected for a stale epoch.
func IsFinal(err error) bool {
	return err == nil || apricotwinch.KindOf(err) == apricotwinch.StaleEpoch
}
