package bookkeeper

import (
	"cmp"
	"slices"

	"apricotwinch"
	"apricotwinch/messenger"
)

// JobsPerPart is the greatest number of jobs in one part of a snapshot.
const JobsPerPart = 200

// Snapshot returns the complete state as the parts of one snapshot, in order.
func (s *State) Snapshot() []messenger.LedgerSnapshot {
	states := s.States("")
	chunks := slices.Collect(slices.Chunk(states, JobsPerPart))
	if len(chunks) == 0 {
		chunks = [][]messenger.JobState{{}}
	}
	parts := make([]messenger.LedgerSnapshot, len(chunks))
	for i, chunk := range chunks {
		parts[i] = messenger.LedgerSnapshot{
			Through:     int(s.nextOffset - 1),
			Epoch:       int(s.epoch),
			ClockMillis: int(s.clock),
			Part:        i,
			Parts:       len(chunks),
			Jobs:        chunk,
		}
	}
	return parts
}

// States returns the states of the jobs of team, or of all teams if team is "", in order of
// submission.
func (s *State) States(team string) []messenger.JobState {
	states := make([]messenger.JobState, 0, len(s.jobs))
	for job := range s.All() {
		if team == "" || job.team == team {
			states = append(states, job.state())
		}
	}
	return states
}

// State returns the state of the job with the given ID and whether the state contains it.
func (s *State) State(id string) (messenger.JobState, bool) {
	job, ok := s.jobs[id]
	if !ok {
		return messenger.JobState{}, false
	}
	return job.state(), true
}

// restoration buffers records until a complete snapshot was read.
type restoration struct {
	earliest int64
	buffered []bufferedRecord
	parts    map[int][]messenger.LedgerSnapshot
}

type bufferedRecord struct {
	offset int64
	record messenger.LedgerRecord
}

// Restore returns the state for a stream whose records before offset earliest no longer exist. The
// state waits for a snapshot that includes all records before earliest.
func Restore(partition int, earliest int64) *State {
	s := New(partition)
	if earliest == 0 {
		return s
	}
	s.nextOffset = earliest
	s.restoration = &restoration{earliest: earliest, parts: make(map[int][]messenger.LedgerSnapshot)}
	return s
}

// applyRestoring buffers record. If record completes a snapshot, it loads the state from the snapshot
// and replays the buffered records that follow it.
func (s *State) applyRestoring(offset int64, record messenger.LedgerRecord) error {
	if record.Type != messenger.RecordSnapshot {
		s.restoration.buffered = append(s.restoration.buffered, bufferedRecord{offset: offset, record: record})
		return nil
	}
	if record.Snapshot == nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "snapshot: is missing")
	}
	parts, whole := s.restoration.add(*record.Snapshot)
	if !whole || int64(record.Snapshot.Through) < s.restoration.earliest-1 {
		return nil
	}
	s.load(parts)
	return nil
}

// add keeps part. If part is the last one of its snapshot, add returns all parts and true.
func (r *restoration) add(part messenger.LedgerSnapshot) ([]messenger.LedgerSnapshot, bool) {
	parts := r.parts[part.Through]
	if part.Part == 0 {
		parts = nil
	}
	if part.Part != len(parts) {
		return nil, false
	}
	parts = append(parts, part)
	r.parts[part.Through] = parts
	return parts, len(parts) == part.Parts
}

func (s *State) load(parts []messenger.LedgerSnapshot) {
	through := int64(parts[0].Through)
	s.epoch = int64(parts[0].Epoch)
	for _, part := range parts {
		for _, state := range part.Jobs {
			job := restoreJob(state)
			s.insert(job)
			if job.Finished() {
				s.finished = append(s.finished, job)
			}
		}
	}
	slices.SortFunc(s.finished, func(x, y *Job) int {
		return cmp.Or(cmp.Compare(x.finishedMillis, y.finishedMillis), cmp.Compare(x.id, y.id))
	})
	s.clock = int64(parts[0].ClockMillis)
	buffered := s.restoration.buffered
	s.restoration = nil
	for _, entry := range buffered {
		if entry.offset > through {
			_, _ = s.applyRecord(entry.offset, entry.record)
		}
	}
}
