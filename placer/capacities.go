package placer

import (
	"fmt"
	"slices"
	"time"

	"apricotwinch"
)

// capacities counts the whole capacities of the known hosts and keeps those
// that no other covers.
type capacities struct {
	counts   map[apricotwinch.Resources]int
	greatest []apricotwinch.Resources
	departed []departure
}

// departure is the capacity of a host that left, kept for a while.
type departure struct {
	capacity apricotwinch.Resources
	until    time.Time
}

func newCapacities() *capacities {
	return &capacities{counts: map[apricotwinch.Resources]int{}}
}

func (c *capacities) add(capacity apricotwinch.Resources) {
	c.counts[capacity]++
	if c.counts[capacity] > 1 || c.fits(capacity) {
		return
	}
	c.greatest = slices.DeleteFunc(c.greatest, func(other apricotwinch.Resources) bool {
		return other.Fits(capacity)
	})
	c.greatest = append(c.greatest, capacity)
}

// depart keeps the capacity of a host that left until the given time.
func (c *capacities) depart(capacity apricotwinch.Resources, until time.Time) {
	c.departed = append(c.departed, departure{capacity: capacity, until: until})
}

// expire forgets the capacities of hosts that left long enough ago.
func (c *capacities) expire(now time.Time) {
	for len(c.departed) > 0 && !now.Before(c.departed[0].until) {
		c.remove(c.departed[0].capacity)
		c.departed = c.departed[1:]
	}
}

func (c *capacities) remove(capacity apricotwinch.Resources) {
	c.counts[capacity]--
	if c.counts[capacity] > 0 {
		return
	}
	delete(c.counts, capacity)
	if slices.Contains(c.greatest, capacity) {
		c.rebuild()
	}
}

func (c *capacities) rebuild() {
	all := make([]apricotwinch.Resources, 0, len(c.counts))
	for capacity := range c.counts {
		all = append(all, capacity)
	}
	slices.SortFunc(all, largestFirst)
	c.greatest = nil
	for _, capacity := range all {
		if !c.fits(capacity) {
			c.greatest = append(c.greatest, capacity)
		}
	}
}

// fits reports whether the whole of some host can hold need.
func (c *capacities) fits(need apricotwinch.Resources) bool {
	return slices.ContainsFunc(c.greatest, need.Fits)
}

// shortage says which resource no host has enough of, and the largest host.
func (c *capacities) shortage(need apricotwinch.Resources) string {
	largest := c.greatest[0]
	top := largest
	for _, capacity := range c.greatest[1:] {
		top = greatest(top, capacity)
		if largestFirst(capacity, largest) < 0 {
			largest = capacity
		}
	}
	switch {
	case need.ProcessorMillis() > top.ProcessorMillis():
		return fmt.Sprintf("processors: need %dm, the largest host has %dm", need.ProcessorMillis(), top.ProcessorMillis())
	case need.MemoryBytes() > top.MemoryBytes():
		return fmt.Sprintf("memory: need %dB, the largest host has %dB", need.MemoryBytes(), top.MemoryBytes())
	case need.Accelerators() > top.Accelerators():
		return fmt.Sprintf("accelerators: need %d, the largest host has %d", need.Accelerators(), top.Accelerators())
	default:
		return fmt.Sprintf("no host has the processors, memory and accelerators together: need %s, the largest host has %s", need, largest)
	}
}

func largestFirst(a, b apricotwinch.Resources) int {
	for _, d := range []int64{
		b.ProcessorMillis() - a.ProcessorMillis(),
		b.MemoryBytes() - a.MemoryBytes(),
		b.Accelerators() - a.Accelerators(),
	} {
		if d != 0 {
			return int(max(-1, min(1, d)))
		}
	}
	return 0
}
