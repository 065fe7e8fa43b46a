package recorder

import (
	"time"

	"apricotwinch/messenger"
)

// stream holds the records of one stream from offset earliest on.
type stream struct {
	earliest int
	records  []record
	grown    chan struct{}
}

type record struct {
	data []byte
	at   time.Time
}

func (s *stream) next() int { return s.earliest + len(s.records) }

// append adds records and returns the offset of the first.
func (s *stream) append(now time.Time, records [][]byte) int {
	offset := s.next()
	for _, data := range records {
		s.records = append(s.records, record{data: data, at: now})
	}
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// read returns at most maxRecords records from offset from on, and no second
// one that would bring them over maxBytes.
func (s *stream) read(from, maxRecords, maxBytes int) []messenger.LogRecord {
	found := []messenger.LogRecord{}
	size := 0
	for offset := max(from, s.earliest); offset < s.next() && len(found) < maxRecords; offset++ {
		data := s.records[offset-s.earliest].data
		size += len(data)
		if size > maxBytes && len(found) > 0 {
			break
		}
		found = append(found, messenger.LogRecord{Offset: offset, Data: data})
	}
	return found
}

// expireBefore drops the records before offset.
func (s *stream) expireBefore(offset int) {
	drop := min(max(offset-s.earliest, 0), len(s.records))
	s.earliest += drop
	s.records = s.records[drop:]
}

// retain drops the records that faults let expire.
func (s *stream) retain(faults Faults, now time.Time) {
	if faults.RetainRecords > 0 && len(s.records) > faults.RetainRecords {
		s.expireBefore(s.next() - faults.RetainRecords)
	}
	if faults.RetainMillis <= 0 {
		return
	}
	oldest := now.Add(-time.Duration(faults.RetainMillis) * time.Millisecond)
	kept := 0
	for kept < len(s.records) && s.records[kept].at.Before(oldest) {
		kept++
	}
	if kept > 0 {
		s.expireBefore(s.earliest + kept)
	}
}
