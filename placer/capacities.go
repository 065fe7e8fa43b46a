package placer

import (
	"fmt"
	"slices"
	"time"

	"apricotwinch"
)

// capacities counts the hosts of each total capacity. maximal holds the capacities that no
// other one covers; they are enough to decide whether a need can ever fit on a host.
type capacities struct {
	counts   map[apricotwinch.Resources]int
	maximal  []apricotwinch.Resources
	departed []departedCapacity
}

// departedCapacity is the capacity of a host that left; it still counts until the given
// time.
type departedCapacity struct {
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
	c.maximal = slices.DeleteFunc(c.maximal, func(other apricotwinch.Resources) bool {
		return other.Fits(capacity)
	})
	c.maximal = append(c.maximal, capacity)
}

// retain keeps the capacity of a host that left until the given time.
func (c *capacities) retain(capacity apricotwinch.Resources, until time.Time) {
	c.departed = append(c.departed, departedCapacity{capacity: capacity, until: until})
}

// expire drops the capacities of hosts that left long enough ago.
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
	if slices.Contains(c.maximal, capacity) {
		c.rebuild()
	}
}

func (c *capacities) rebuild() {
	all := make([]apricotwinch.Resources, 0, len(c.counts))
	for capacity := range c.counts {
		all = append(all, capacity)
	}
	slices.SortFunc(all, largestFirst)
	c.maximal = nil
	for _, capacity := range all {
		if !c.fits(capacity) {
			c.maximal = append(c.maximal, capacity)
		}
	}
}

// fits reports whether some host, when empty, can hold need.
func (c *capacities) fits(need apricotwinch.Resources) bool {
	return slices.ContainsFunc(c.maximal, need.Fits)
}

// describeShortage says which resource no host has enough of, and how much the largest host
// has.
func (c *capacities) describeShortage(need apricotwinch.Resources) string {
	largest := c.maximal[0]
	maximum := largest
	for _, capacity := range c.maximal[1:] {
		maximum = componentMax(maximum, capacity)
		if largestFirst(capacity, largest) < 0 {
			largest = capacity
		}
	}
	switch {
	case need.ProcessorMillis() > maximum.ProcessorMillis():
		return fmt.Sprintf("processors: need %dm, the largest host has %dm", need.ProcessorMillis(), maximum.ProcessorMillis())
	case need.MemoryBytes() > maximum.MemoryBytes():
		return fmt.Sprintf("memory: need %dB, the largest host has %dB", need.MemoryBytes(), maximum.MemoryBytes())
	case need.Accelerators() > maximum.Accelerators():
		return fmt.Sprintf("accelerators: need %d, the largest host has %d", need.Accelerators(), maximum.Accelerators())
	default:
		return fmt.Sprintf("no host has the processors, memory and accelerators together: need %s, the largest host has %s", need, largest)
	}
}

// largestFirst orders by processors, then memory, then accelerators, in descending order.
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
