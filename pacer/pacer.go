// Package pacer decides how fast each task that fills may go beside tasks that
// serve their own users: as fast as leaves every tail under its target.
//
// It does no I/O and keeps no state; the caller gives what it measured.
package pacer

// Full is the pace of a task that is not held back, in percent.
const Full = 100

// Config holds the bounds of the decision.
type Config struct {
	// Wanted is the headroom, a target divided by its tail, that is left to each
	// serving task: load that rises shows in figures half a second late.
	Wanted float64
	// Light is the press below which a pair doesn't matter.
	Light float64
	// Doubt is the press that is supposed of every filling image while a tail is over
	// its target for longer than what is known explains.
	Doubt float64
	// Floor is the least pace that is worth the memory, in percent; below it a task
	// stands still.
	Floor int
	// Step is the least change of a pace that is worth a call, in percent.
	Step int
}

// DefaultConfig returns the bounds used by agents.
func DefaultConfig() Config {
	return Config{Wanted: 1.3, Light: 0.06, Doubt: 0.35, Floor: 4, Step: 4}
}

// Serving is a task that serves. Undisturbed is the headroom that it would have
// without the tasks that fill; 0 for unknown.
type Serving struct {
	Image       string
	Undisturbed float64
	// Doubtful is whether its tail has been over its target for long.
	Doubtful bool
}

// Filling is a task that fills, with its pace in percent.
type Filling struct {
	Image string
	Pace  int
}

// Press returns the headroom that a filling image at full speed takes from a
// serving image.
type Press func(serving, filling string) float64

// Headroom returns a target divided by a tail, both in milliseconds; 0 when there is
// no target or the tail is not known.
func Headroom(targetMillis int, tailMillis float64) float64 {
	if targetMillis <= 0 || tailMillis <= 0 {
		return 0
	}
	return float64(targetMillis) / tailMillis
}

// Share returns the share of full speed at which work goes that uses some of the
// processors that it asks for, both in thousandths; 0 when it asks for none.
func Share(usedMillis float64, askedMillis int64) float64 {
	if askedMillis <= 0 {
		return 0
	}
	return usedMillis / float64(askedMillis)
}

// Undisturbed returns the headroom that a serving image would have without the
// filling work that was measured beside it: by image, the sum of the shares of
// full speed over the same time.
func Undisturbed(headroom float64, serving string, shares map[string]float64, press Press) float64 {
	for image, share := range shares {
		headroom += press(serving, image) * share
	}
	return headroom
}

// Decide returns the pace of each filling task. Work that presses more is held
// back more; a pace that hardly differs is left.
func Decide(config Config, serving []Serving, filling []Filling, press Press) []int {
	shares := make([]float64, len(filling))
	for i := range shares {
		shares[i] = 1
	}
	for _, s := range serving {
		if s.Undisturbed > 0 {
			hold(config, s, filling, press, shares)
		}
	}
	paces := make([]int, len(filling))
	for i, share := range shares {
		paces[i] = step(config, filling[i].Pace, int(share*Full+0.5))
	}
	return paces
}

// hold lowers shares until the presses on s fit its headroom.
func hold(config Config, s Serving, filling []Filling, press Press, shares []float64) {
	presses := make([]float64, len(filling))
	sum := 0.0
	for i, f := range filling {
		p := press(s.Image, f.Image)
		if s.Doubtful {
			p = max(p, config.Doubt)
		}
		if p >= config.Light {
			presses[i] = p
			sum += p * shares[i]
		}
	}
	budget := max(0, s.Undisturbed-config.Wanted)
	if sum <= budget {
		return
	}
	low, high := 0.0, 1/config.Light
	for range bisections {
		middle := (low + high) / 2
		if pressed(presses, shares, middle) > budget {
			low = middle
		} else {
			high = middle
		}
	}
	for i := range shares {
		shares[i] = limited(presses[i], shares[i], high)
	}
}

// bisections is the number of steps in which the common limit is found.
const bisections = 20

// limited returns the share of a task that presses with p under a limit.
func limited(p, share, limit float64) float64 {
	return min(share, max(0, 1-limit*p))
}

func pressed(presses, shares []float64, limit float64) float64 {
	sum := 0.0
	for i, p := range presses {
		sum += p * limited(p, shares[i], limit)
	}
	return sum
}

// step returns the pace to set, given the one in force.
func step(config Config, before, pace int) int {
	if pace < config.Floor {
		pace = 0
	}
	if change := pace - before; pace != 0 && pace != Full && change < config.Step && change > -config.Step {
		return before
	}
	return pace
}
