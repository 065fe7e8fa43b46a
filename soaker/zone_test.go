package soaker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Cuts of zones. An owner that is cut off loses its authority during a cut.
const (
	zoneCutDuration = 5 * time.Second
	zoneCutGap      = 3 * time.Second
)

// TestZoneCuts guards against tasks that run twice when the zone of the owner is cut off from the
// others: an owner must not start tasks that its successor keeps running. Each zone is cut off in
// turn; SOAK_CUTS is the number of cuts.
func TestZoneCuts(t *testing.T) {
	const entries, hosts = 4, 12
	first := environmentInt(t, "SOAK_FIRST", 1)
	cuts := environmentInt(t, "SOAK_CUTS", len(zones))
	for i := range environmentInt(t, "SOAK_SEEDS", 1) {
		seed := uint64(first + i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, entries, hosts, seed)
			soak(t, f, seed, plan{inject: func() []string { return f.cutZonesInTurn(seed, cuts) }, evacuates: true, stallSettle: stallSettle})
		})
	}
}

// cutZonesInTurn cuts zones off one after the other, beginning with a random one, and returns a
// description of each cut.
func (f *fleet) cutZonesInTurn(seed uint64, cuts int) []string {
	random := rand.New(rand.NewPCG(seed, 1))
	began := time.Now()
	order := random.Perm(len(zones))
	var injected []string
	for i := range cuts {
		time.Sleep(zoneCutGap)
		zone := zones[order[i%len(zones)]]
		injected = append(injected, fmt.Sprintf("%.2f s zone %s cut off for %s", time.Since(began).Seconds(), zone, zoneCutDuration))
		f.cutZone(zone)
		time.Sleep(zoneCutDuration)
		f.healZones()
	}
	return injected
}
