package comparer

import (
	"fmt"
	"math"
	"math/rand/v2"

	"apricotwinch"
)

const (
	mib          = int64(1) << 20
	batchKinds   = 24
	serviceKinds = 4
	teamCount    = 12
	// meanWork is the mean run time of an undisturbed task in seconds.
	meanWork = 30.0
	// throttledRate is what a throttle leaves of progress and of interference.
	throttledRate = 0.3
)

// kind is a class of batch work with its true and its declared size.
type kind struct {
	index    int
	name     string
	team     string
	size     apricotwinch.Resources
	declared apricotwinch.Resources
}

// buildKinds draws the classes of work and how much each pair interferes. The
// last kind is the one of noisy waves.
func (r *run) buildKinds(random *rand.Rand) {
	for i := range batchKinds + 1 {
		size := apricotwinch.NewResources(500+100*random.Int64N(36), 1024*mib+256*mib*random.Int64N(20), 0)
		if i == batchKinds {
			size = apricotwinch.NewResources(500, 512*mib, 0)
		}
		r.kinds = append(r.kinds, &kind{
			index:    i,
			name:     fmt.Sprintf("kind-%d", i),
			team:     fmt.Sprintf("team-%d", i%teamCount),
			size:     size,
			declared: r.scenario.declare(random, size),
		})
	}
	victims := batchKinds + 1 + serviceKinds
	for victim := range victims {
		row := make([]float64, batchKinds+1)
		for aggressor := range row {
			row[aggressor] = r.scenario.interference(random, victim > batchKinds, aggressor == batchKinds)
		}
		r.excess = append(r.excess, row)
	}
}

// declare returns the declared size for a true one.
func (s Scenario) declare(random *rand.Rand, size apricotwinch.Resources) apricotwinch.Resources {
	wrong := func() float64 {
		return math.Exp(math.Log(s.declaredLow) + random.Float64()*(math.Log(s.declaredHigh)-math.Log(s.declaredLow)))
	}
	return apricotwinch.NewResources(
		int64(wrong()*float64(size.ProcessorMillis())),
		int64(wrong()*float64(size.MemoryBytes())),
		0,
	)
}

// interference draws the true slowdown above 1 of a victim by one task.
func (s Scenario) interference(random *rand.Rand, service, wave bool) float64 {
	chance, strength := random.Float64(), random.Float64()
	switch {
	case wave && service:
		return 0.8
	case service && chance < s.strongPairs:
		return 0.5 + strength
	case !service && chance < s.strongPairs/2:
		return 0.2 * strength
	default:
		return 0.02 * strength
	}
}
