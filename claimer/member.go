package claimer

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotwinch/messenger"
)

// forgetAfterTakeovers is the number of takeover timeouts after which a silent
// process is forgotten.
const forgetAfterTakeovers = 100

// member is the state of an entry's process according to its records.
type member struct {
	address   messenger.EntryAddress
	leaving   bool
	seenAt    time.Time // Time at which its latest record was observed.
	liveSince time.Time // Time of its first record after the latest silence.
}

// members holds the processes seen in the claims stream.
type members map[process]*member

// observe updates the sender of a record that was read at now. A silence of the
// takeover timeout or more restarts liveSince.
func (m members) observe(now time.Time, record messenger.ClaimRecord, takeoverTimeout time.Duration) {
	key := process{entry: record.Entry, incarnation: record.Incarnation}
	known := m[key]
	if known == nil {
		known = &member{liveSince: now}
		m[key] = known
	}
	if now.Sub(known.seenAt) >= takeoverTimeout {
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

// live returns the processes that aren't leaving and have a record later than after,
// at most one per entry, sorted by entry name.
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

// newer reports whether a became live later than b. Incarnations break ties.
func (m members) newer(a, b process) bool {
	if !m[a].liveSince.Equal(m[b].liveSince) {
		return m[a].liveSince.After(m[b].liveSince)
	}
	return a.incarnation > b.incarnation
}

// rankByPreference returns processes sorted by preference for a partition, highest
// rendezvous hash first.
func rankByPreference(processes []process, partition int) []process {
	ranked := slices.Clone(processes)
	slices.SortFunc(ranked, func(a, b process) int {
		if c := cmp.Compare(rendezvousHash(b.entry, partition), rendezvousHash(a.entry, partition)); c != 0 {
			return c
		}
		return cmp.Compare(a.entry, b.entry)
	})
	return ranked
}

func rendezvousHash(entry string, partition int) uint64 {
	return xxhash.Sum64String(entry + "\x00" + strconv.Itoa(partition))
}
