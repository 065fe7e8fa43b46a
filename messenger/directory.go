package messenger

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// directoryBits keeps a hash exact as a JSON number.
const directoryBits = 53

// HashDirectory returns a hash of the live entries and the owners of partitions,
// never 0. Equal lists in the same order have equal hashes.
func HashDirectory(entries []EntryAddress, owners []PartitionOwner) int {
	hash := xxhash.New()
	number := func(n int) {
		// A hash takes every write.
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(n)))
	}
	text := func(s string) {
		number(len(s))
		_, _ = hash.WriteString(s)
	}
	number(len(entries))
	for _, e := range entries {
		text(e.Entry)
		text(e.Incarnation)
		text(e.Address)
		text(e.DataCentre)
	}
	for _, o := range owners {
		number(o.Partition)
		number(o.Epoch)
		text(o.Entry)
		text(o.Address)
	}
	return int(hash.Sum64()>>(64-directoryBits)) | 1
}
