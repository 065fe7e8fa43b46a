// Package pacer decides how fast each task that fills may go beside tasks that
// serve their own users: as fast as leaves every tail under its target.
//
// It does no I/O and keeps no state; the caller gives the latest figures.
package pacer

import (
	"cmp"
	"slices"
)

// Full is the pace of a task that is not held back, in percent.
const Full = 100

// Config holds the bounds of the decision.
type Config struct {
	// Least is the headroom, a target divided by its tail, below which filling work
	// is held back; Wanted is the one that it is held back to; Calm is the one from
	// which on it may go faster.
	Least, Wanted, Calm float64
	// Light is the press below which a pair doesn't matter.
	Light float64
	// Raise is the greatest step up, in percent.
	Raise int
	// Floor is the least pace that is worth the memory, in percent; below it a task
	// stands still.
	Floor int
}

// DefaultConfig returns the bounds used by agents.
func DefaultConfig() Config {
	return Config{Least: 1.15, Wanted: 1.45, Calm: 1.45, Light: 0.1, Raise: 25, Floor: 5}
}

// Serving is a task that serves, with its headroom; 0 for unknown.
type Serving struct {
	Image    string
	Headroom float64
}

// Filling is a task that fills, with its pace in percent; a new one has none yet.
type Filling struct {
	Image string
	Pace  int
	New   bool
}

// Press returns the headroom that a filling image at full speed takes from a
// serving image.
type Press func(serving, filling string) float64

// Decide returns the pace of each filling task. Settled tells whether the figures
// show the effect of the last change; until then only new tasks get a pace.
func Decide(config Config, serving []Serving, filling []Filling, press Press, settled bool) []int {
	paces := make([]int, len(filling))
	for i, f := range filling {
		paces[i] = f.Pace
		if f.New {
			paces[i] = initial(config, serving, f, press)
		}
	}
	if !settled {
		return paces
	}
	held := make([]bool, len(filling))
	for _, s := range serving {
		if s.Headroom > 0 && s.Headroom < config.Least {
			hold(config, s, filling, press, paces, held)
		}
	}
	for i, f := range filling {
		if !held[i] && !f.New {
			paces[i] = raise(config, serving, f, press, paces[i], len(filling))
		}
	}
	return paces
}

// initial returns the pace of a new task: what the headroom leaves room for.
func initial(config Config, serving []Serving, f Filling, press Press) int {
	pace := float64(Full)
	for _, s := range serving {
		p := press(s.Image, f.Image)
		if p < config.Light {
			continue
		}
		headroom := s.Headroom
		if headroom == 0 {
			headroom = config.Calm
		}
		pace = min(pace, Full*max(0, headroom-config.Calm)/p)
	}
	return clip(config, int(pace))
}

// hold lowers the paces that press most on s until its headroom should be back.
// A tail that no known pair explains lowers all by half.
func hold(config Config, s Serving, filling []Filling, press Press, paces []int, held []bool) {
	order := make([]int, len(filling))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(press(s.Image, filling[b].Image), press(s.Image, filling[a].Image))
	})
	missing := config.Wanted - s.Headroom
	explained := 0.0
	for _, i := range order {
		p := press(s.Image, filling[i].Image)
		if p < config.Light || missing <= 0 {
			break
		}
		gain := min(missing, p*float64(paces[i])/Full)
		explained += gain
		missing -= gain
		paces[i] = clip(config, paces[i]-int(gain/p*Full+0.5))
		held[i] = true
	}
	if explained > 0 || s.Headroom >= 1 {
		return
	}
	for i := range paces {
		paces[i] = clip(config, paces[i]/2)
		held[i] = true
	}
}

// raise returns a pace that leaves every tail calm, at most one step up.
func raise(config Config, serving []Serving, f Filling, press Press, pace, sharing int) int {
	step := float64(config.Raise)
	for _, s := range serving {
		p := press(s.Image, f.Image)
		if p < config.Light || s.Headroom == 0 {
			continue
		}
		step = min(step, Full*max(0, s.Headroom-config.Calm)/p/float64(sharing))
	}
	if step < 1 {
		return pace
	}
	return min(Full, max(pace+int(step), config.Floor))
}

// clip returns a pace that is worth the memory, or 0.
func clip(config Config, pace int) int {
	if pace < config.Floor {
		return 0
	}
	return min(pace, Full)
}
