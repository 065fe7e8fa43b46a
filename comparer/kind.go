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
	// meanWork is the mean run time of a task without slowdown, in seconds.
	meanWork = 30.0
	// throttledFraction is the fraction of its progress and interference that a
	// throttled task keeps.
	throttledFraction = 0.3
)

// kind is a class of batch work with its actual and its declared size.
type kind struct {
	index    int
	name     string
	team     string
	size     apricotwinch.Resources
	declared apricotwinch.Resources
}

// buildKinds draws the kinds of batch work and the interference of each pair of kinds.
// The last kind is that of the noisy tasks which a scenario may submit as a wave.
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
		r.interference = append(r.interference, row)
	}
}

// declare returns a declared size for an actual size. It multiplies each resource by a
// random factor between declaredLow and declaredHigh.
func (s Scenario) declare(random *rand.Rand, size apricotwinch.Resources) apricotwinch.Resources {
	errorFactor := func() float64 {
		return math.Exp(math.Log(s.declaredLow) + random.Float64()*(math.Log(s.declaredHigh)-math.Log(s.declaredLow)))
	}
	return apricotwinch.NewResources(
		int64(errorFactor()*float64(size.ProcessorMillis())),
		int64(errorFactor()*float64(size.MemoryBytes())),
		0,
	)
}

// interference draws the slowdown above 1 that one task adds to other work. serviceVictim
// is whether that work is a service, waveAggressor whether the task is from a noisy wave.
func (s Scenario) interference(random *rand.Rand, serviceVictim, waveAggressor bool) float64 {
	chance, strength := random.Float64(), random.Float64()
	switch {
	case waveAggressor && serviceVictim:
		return 0.8
	case serviceVictim && chance < s.strongPairShare:
		return 0.5 + strength
	case !serviceVictim && chance < s.strongPairShare/2:
		return 0.2 * strength
	default:
		return 0.02 * strength
	}
}
