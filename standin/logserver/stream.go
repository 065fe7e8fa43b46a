package logserver

import (
	"time"

	"apricotwinch/messenger"
)

// stream holds the records of one stream. The first one has offset earliest; appended is closed
// and replaced at each append.
type stream struct {
	earliest int
	records  []record
	appended chan struct{}
}

type record struct {
	data       []byte
	appendedAt time.Time
}

func (s *stream) next() int { return s.earliest + len(s.records) }

// append adds records, and returns the offset of the first one.
func (s *stream) append(now time.Time, records [][]byte) int {
	offset := s.next()
	for _, data := range records {
		s.records = append(s.records, record{data: data, appendedAt: now})
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// read returns at most maxRecords records from offset from on, of at most maxBytes in total. It
// returns the first record even if that one alone is larger.
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
	expired := min(max(offset-s.earliest, 0), len(s.records))
	s.earliest += expired
	s.records = s.records[expired:]
}

// applyRetention drops the records beyond the limits of faults on count and age.
func (s *stream) applyRetention(faults Faults, now time.Time) {
	if faults.RetainRecords > 0 && len(s.records) > faults.RetainRecords {
		s.expireBefore(s.next() - faults.RetainRecords)
	}
	if faults.RetainMillis <= 0 {
		return
	}
	cutoff := now.Add(-time.Duration(faults.RetainMillis) * time.Millisecond)
	expired := 0
	for expired < len(s.records) && s.records[expired].appendedAt.Before(cutoff) {
		expired++
	}
	if expired > 0 {
		s.expireBefore(s.earliest + expired)
	}
}
