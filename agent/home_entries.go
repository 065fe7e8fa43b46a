package agent

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"apricotwinch/messenger"
)

// ChooseHomeEntries returns the n entries that host sends its heartbeats to, fewer if entries has
// fewer. Entries in the host's data centre come first; each group is ordered by rendezvous hashing.
func ChooseHomeEntries(host, dataCentre string, entries []messenger.EntryAddress, n int) []messenger.EntryAddress {
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b messenger.EntryAddress) int {
		return cmp.Or(
			compareTrueFirst(a.DataCentre == dataCentre, b.DataCentre == dataCentre),
			cmp.Compare(rendezvousWeight(host, b.Entry), rendezvousWeight(host, a.Entry)),
			cmp.Compare(a.Entry, b.Entry),
		)
	})
	return ranked[:min(n, len(ranked))]
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// rendezvousWeight returns the rendezvous hash of host and entry.
func rendezvousWeight(host, entry string) uint64 {
	return xxhash.Sum64String(host + "\x00" + entry)
}
