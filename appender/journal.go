package appender

import (
	"context"

	"apricotwinch"
)

// KeyedRecord is the newest record of one key of a journal.
type KeyedRecord struct {
	key   string
	value []byte
}

// NewKeyedRecord returns a record that sets key to value; no value drops the key.
func NewKeyedRecord(key string, value []byte) KeyedRecord {
	return KeyedRecord{key: key, value: value}
}

// Key returns the key.
func (r KeyedRecord) Key() string { return r.key }

// Value returns the value, which is empty for a dropped key.
func (r KeyedRecord) Value() []byte { return r.value }

// Producer names who appends to a journal. Of two appends of one producer name
// the one with the lower epoch is refused for good; within an epoch, a sequence
// number is appended once, however often it is sent.
type Producer struct {
	name     string
	epoch    int64
	sequence int64
}

// NewProducer returns a producer in an epoch, at a sequence number.
func NewProducer(name string, epoch, sequence int64) Producer {
	return Producer{name: name, epoch: epoch, sequence: sequence}
}

// Name returns the name of the producer.
func (p Producer) Name() string { return p.name }

// Epoch returns the epoch.
func (p Producer) Epoch() int64 { return p.epoch }

// Sequence returns the sequence number of the next append.
func (p Producer) Sequence() int64 { return p.sequence }

// Next returns the producer after one append.
func (p Producer) Next() Producer {
	p.sequence++
	return p
}

// KeyedLog is a log that keeps the newest record of each key for good; its
// functions are the seam that a driver fills. They fail with kind LogUnavailable
// when nothing was done, with Unknown when it may have been, and with StaleEpoch
// when a later epoch, or another writer of the same one, has appended.
type KeyedLog struct {
	// Append adds records to a journal, all or none.
	Append func(ctx context.Context, journal string, producer Producer, records []KeyedRecord) error
	// Put adds records of a writer that isn't fenced.
	Put func(ctx context.Context, journal string, records []KeyedRecord) error
	// Newest returns the newest record of every key.
	Newest func(ctx context.Context, journal string) ([]KeyedRecord, error)
}

// Journals of a deployment.
const (
	// JournalWork holds the owner, the workloads and their progress.
	JournalWork = "work"
	// JournalMembers holds the entries.
	JournalMembers = "members"
	// JournalOwner holds a copy of the owner's record, for those who need no more of
	// JournalWork.
	JournalOwner = "owner"
)

// Settled reports whether an append that ended with err needs no repetition.
func Settled(err error) bool {
	return err == nil || apricotwinch.KindOf(err) == apricotwinch.StaleEpoch
}
