package coordinator_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"apricotwinch/appender"
	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

// TestWaitCountsFromCommittedClaim guards against a new owner that waits for the leases of a silent host from when it
// has read the journal, which takes long over a slow link, and not from its claim.
func TestWaitCountsFromCommittedClaim(t *testing.T) {
	const (
		read   = 1500 * time.Millisecond
		agents = 4 // What stops the agent comes after what stops the entries, two for each.
	)
	d := newDeployment(t, 2)
	eventually(t, "the owner has written all that it must", d.isSettled)
	eventually(t, "no lease lasts that a call for an earlier incarnation granted", func() bool {
		var record messenger.HostRecord
		if err := json.Unmarshal(d.store.value(appender.JournalWork, "h/host"), &record); err != nil {
			t.Fatal(err)
		}
		return len(record.Executors) == 1 && record.Executors[0].StrayLeaseMillis == 0
	})
	d.stop[agents]()
	d.store.setReadDelay(read)
	for i, name := range []string{"entry-0", "entry-1"} {
		if d.owner(t) == name {
			d.entries[i].StepDown(context.Background())
			break
		}
	}
	eventually(t, "the next owner waits for the host", func() bool { return len(d.logs.find(t, "executors not listed")) > 0 })
	config := conductor.DefaultConfig()
	lease, ok := d.logs.find(t, "executors not listed")[0]["leaseMillis"].(float64)
	if most := (config.Lease + config.Margin - read).Milliseconds(); !ok || int64(lease) > most {
		t.Errorf("remaining lease at the start: got %v ms, want at most %d", lease, most)
	}
}
