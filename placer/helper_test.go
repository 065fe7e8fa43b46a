package placer_test

import (
	"flag"
	"fmt"
	"time"

	"apricotwinch"
	"apricotwinch/placer"
)

const (
	gib     = int64(1) << 30
	perRack = 3
)

var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// settled returns a configuration that reports unschedulable work at once.
func settled() placer.Config {
	config := placer.DefaultConfig()
	config.Learning = 0
	return config
}

// locality spreads host number i over dataCentres data centres, three to a rack.
func locality(i, dataCentres int) apricotwinch.Locality {
	place := i % dataCentres
	rack := i / dataCentres / perRack
	return apricotwinch.NewLocality("region", fmt.Sprintf("dc-%d", place), fmt.Sprintf("rack-%d-%d", place, rack))
}

func worker() apricotwinch.Resources { return apricotwinch.NewResources(16_000, 62*gib, 0) }

func attempt(job string, task int) apricotwinch.AttemptID {
	return apricotwinch.NewAttemptID(job, task, 1)
}

func small(job string, task int) placer.Request {
	return placer.NewRequest(attempt(job, task), job, apricotwinch.NewResources(1000, gib, 0))
}

// table returns a placer with hosts hosts in dataCentres data centres.
func table(config placer.Config, hosts, dataCentres int) *placer.Placer {
	p := placer.New(config, 1)
	for i := range hosts {
		p.Join(epoch, fmt.Sprintf("host-%d", i), locality(i, dataCentres), worker())
	}
	return p
}
