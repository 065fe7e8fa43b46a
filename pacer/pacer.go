// Package pacer decides how far to throttle each best-effort task beside serving tasks: as
// little as keeps every tail latency under its target.
//
// It does no I/O and keeps no state; the caller passes what it measured.
package pacer

// FullSpeed is the pace, in percent of full speed, of a task that is not throttled.
const FullSpeed = 100

// Config holds the thresholds of the decision.
type Config struct {
	// WantedHeadroom is the headroom, a latency target divided by the tail latency, that is left
	// to each serving task. It is more than 1 because a rising load shows in the measured latency
	// half a second late.
	WantedHeadroom float64
	// NegligibleInterference is the interference, in headroom, below which a pair of images is
	// ignored.
	NegligibleInterference float64
	// AssumedInterference is the least interference, in headroom, that is assumed of every
	// best-effort image while a tail latency exceeds its target for longer than the estimates explain.
	AssumedInterference float64
	// MinPace is the least pace, in percent, that is worth the memory of the task; below it the
	// pace is 0.
	MinPace int
	// MinChange is the least change of a pace, in percent, that is worth a call.
	MinChange int
}

// DefaultConfig returns the configuration used by agents.
func DefaultConfig() Config {
	return Config{WantedHeadroom: 1.3, NegligibleInterference: 0.06, AssumedInterference: 0.35, MinPace: 4, MinChange: 4}
}

// Serving is a serving task. Undisturbed is the headroom that it would have without the
// best-effort tasks; 0 for unknown. Agents log the struct under the names of its fields.
type Serving struct {
	Image       string
	Undisturbed float64
	// Doubtful is set when its tail latency has exceeded its target for so long that the estimates
	// are in doubt.
	Doubtful bool
}

// BestEffort is a best-effort task with its current pace in percent.
type BestEffort struct {
	Image string
	Pace  int
	// Background is set for a task that works at the least pace, as others come before it.
	Background bool
	// Preferred is set for a task that is throttled only once all others that interfere are stopped.
	Preferred bool
}

// Interference returns the headroom that a best-effort image at full speed takes from a
// serving image.
type Interference func(serving, bestEffort string) float64

// Headroom returns a latency target divided by a tail latency, both in milliseconds. It
// returns 0 when there is no target or the tail latency is unknown.
func Headroom(targetMillis int, tailMillis float64) float64 {
	if targetMillis <= 0 || tailMillis <= 0 {
		return 0
	}
	return float64(targetMillis) / tailMillis
}

// Share returns the share of full speed, 1 for full speed, at which work runs that uses
// usedMillis of the requestedMillis that it asks for, both in thousandths of a processor. It
// returns 0 when the work requests none.
func Share(usedMillis float64, requestedMillis int64) float64 {
	if requestedMillis <= 0 {
		return 0
	}
	return usedMillis / float64(requestedMillis)
}

// HeadroomAlone returns the headroom that a serving image would have without the best-effort
// work that was measured beside it. Shares holds, by image, the sum of the shares of full
// speed over the same time as the headroom.
func HeadroomAlone(headroom float64, serving string, shares map[string]float64, interference Interference) float64 {
	for image, share := range shares {
		headroom += interference(serving, image) * share
	}
	return headroom
}

// Decide returns the pace, in percent, of each best-effort task. Work with more interference
// is throttled more, and preferred work only once the rest is stopped; a pace that would hardly
// change is kept.
func Decide(config Config, serving []Serving, bestEffort []BestEffort, interference Interference) []int {
	shares := make([]float64, len(bestEffort))
	for i, b := range bestEffort {
		shares[i] = 1
		if b.Background {
			shares[i] = float64(config.MinPace) / FullSpeed
		}
	}
	for _, s := range serving {
		if s.Undisturbed > 0 {
			limitShares(config, s, bestEffort, interference, shares)
		}
	}
	paces := make([]int, len(bestEffort))
	for i, share := range shares {
		paces[i] = nextPace(config, bestEffort[i].Pace, int(share*FullSpeed+0.5))
	}
	return paces
}

// limitShares lowers shares until their interference with s leaves the wanted headroom, those of preferred
// tasks last.
func limitShares(config Config, s Serving, bestEffort []BestEffort, interference Interference, shares []float64) {
	preferred, others := make([]float64, len(bestEffort)), make([]float64, len(bestEffort))
	for i, b := range bestEffort {
		p := interference(s.Image, b.Image)
		if s.Doubtful {
			p = max(p, config.AssumedInterference)
		}
		switch {
		case p < config.NegligibleInterference:
		case b.Preferred:
			preferred[i] = p
		default:
			others[i] = p
		}
	}
	budget := max(0, s.Undisturbed-config.WantedHeadroom)
	limitTo(config, max(0, budget-totalInterference(preferred, shares, 0)), others, shares)
	limitTo(config, budget, preferred, shares)
}

// limitTo lowers the shares of tasks with the given interferences, 0 for those that aren't limited, until
// these sum up to a budget at most.
func limitTo(config Config, budget float64, interferences, shares []float64) {
	if totalInterference(interferences, shares, 0) <= budget {
		return
	}
	low, high := 0.0, 1/config.NegligibleInterference
	for range bisectionSteps {
		mid := (low + high) / 2
		if totalInterference(interferences, shares, mid) > budget {
			low = mid
		} else {
			high = mid
		}
	}
	for i := range shares {
		shares[i] = limitedShare(interferences[i], shares[i], high)
	}
}

// bisectionSteps is the number of steps in which the common limit is found.
const bisectionSteps = 20

// limitedShare returns the share of a task with interference p: at most 1-limit*p, so that
// tasks with more interference get less.
func limitedShare(p, share, limit float64) float64 {
	return min(share, max(0, 1-limit*p))
}

// totalInterference returns the sum of the tasks' interference under a common limit.
func totalInterference(interferences, shares []float64, limit float64) float64 {
	sum := 0.0
	for i, p := range interferences {
		sum += p * limitedShare(p, shares[i], limit)
	}
	return sum
}

// nextPace returns the pace to set, given the current one.
func nextPace(config Config, current, pace int) int {
	if pace < config.MinPace {
		pace = 0
	}
	if change := pace - current; pace != 0 && pace != FullSpeed && change < config.MinChange && change > -config.MinChange {
		return current
	}
	return pace
}
