package agent

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"apricotwinch/messenger"
)

// ChooseHomes returns the n entries that host announces itself to: those of its
// data centre first, each group in the order of rendezvous hashing.
func ChooseHomes(host, dataCentre string, entries []messenger.EntryAddress, n int) []messenger.EntryAddress {
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b messenger.EntryAddress) int {
		return cmp.Or(
			compareNear(a.DataCentre == dataCentre, b.DataCentre == dataCentre),
			cmp.Compare(weight(host, b.Entry), weight(host, a.Entry)),
			cmp.Compare(a.Entry, b.Entry),
		)
	})
	return ranked[:min(n, len(ranked))]
}

// compareNear puts what is near first.
func compareNear(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

func weight(host, entry string) uint64 {
	return xxhash.Sum64String(host + "\x00" + entry)
}
