package claimer

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotwinch/messenger"
)

// forgetAfter is how many takeover times a silent process is remembered.
const forgetAfter = 100

// member is a process of an entry as this entry has seen it.
type member struct {
	address   messenger.EntryAddress
	leaving   bool
	seenAt    time.Time // Arrival of its last record here.
	liveSince time.Time // Arrival of its first record without a silence since.
}

// members is the processes seen in the claims stream.
type members map[process]*member

// see notes a record that arrived at now.
func (m members) see(now time.Time, record messenger.ClaimRecord, takeover time.Duration) {
	key := process{entry: record.Entry, incarnation: record.Incarnation}
	known := m[key]
	if known == nil {
		known = &member{liveSince: now}
		m[key] = known
	}
	if now.Sub(known.seenAt) >= takeover {
		known.liveSince = now
	}
	known.seenAt = now
	known.leaving = known.leaving || record.Leaving
	known.address = messenger.EntryAddress{
		Address:     record.Address,
		DataCentre:  record.DataCentre,
		Entry:       record.Entry,
		Incarnation: record.Incarnation,
	}
}

// live returns the processes with a record since after that aren't leaving, one
// for each entry, in order of the entries' names.
func (m members) live(after time.Time) []process {
	latest := make(map[string]process)
	for key, known := range m {
		if known.leaving || !known.seenAt.After(after) {
			continue
		}
		other, ok := latest[key.entry]
		if !ok || m.newer(key, other) {
			latest[key.entry] = key
		}
	}
	live := make([]process, 0, len(latest))
	for _, key := range latest {
		live = append(live, key)
	}
	slices.SortFunc(live, func(a, b process) int { return cmp.Compare(a.entry, b.entry) })
	return live
}

// newer reports whether a lives since later than b.
func (m members) newer(a, b process) bool {
	if !m[a].liveSince.Equal(m[b].liveSince) {
		return m[a].liveSince.After(m[b].liveSince)
	}
	return a.incarnation > b.incarnation
}

// prefer sorts processes by preference for a partition, the greatest rendezvous
// hash first.
func prefer(processes []process, partition int) []process {
	ranked := slices.Clone(processes)
	slices.SortFunc(ranked, func(a, b process) int {
		if c := cmp.Compare(score(b.entry, partition), score(a.entry, partition)); c != 0 {
			return c
		}
		return cmp.Compare(a.entry, b.entry)
	})
	return ranked
}

func score(entry string, partition int) uint64 {
	return xxhash.Sum64String(entry + "\x00" + strconv.Itoa(partition))
}
