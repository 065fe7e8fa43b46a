package messenger

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// directoryHashBits is the length of a hash in bits. JSON numbers are exact only up to 53 bits.
const directoryHashBits = 53

// HashDirectory returns a hash of the live entries and the owners of the partitions. It is never 0,
// which stands for no directory. Equal lists in the same order have equal hashes.
func HashDirectory(entries []EntryAddress, owners []PartitionOwner) int {
	hash := xxhash.New()
	writeInt := func(n int) {
		// Writing to a hash never fails.
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(n)))
	}
	writeString := func(s string) {
		writeInt(len(s))
		_, _ = hash.WriteString(s)
	}
	writeInt(len(entries))
	for _, e := range entries {
		writeString(e.Entry)
		writeString(e.Incarnation)
		writeString(e.Address)
		writeString(e.DataCentre)
	}
	for _, o := range owners {
		writeInt(o.Partition)
		writeInt(o.Epoch)
		writeString(o.Entry)
		writeString(o.Address)
	}
	return int(hash.Sum64()>>(64-directoryHashBits)) | 1
}
