package forecaster

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"
)

// expiryPeriod is the time between two looks for refusals that have expired.
const expiryPeriod = 500 * time.Millisecond

// refusal is a workload that was refused and may return.
type refusal struct {
	// number orders the refusals by the first attempts.
	number int
	first  time.Time
	count  int
	// held is whether its place is held.
	held bool
	// expires is when the caller no longer counts as about to return.
	expires time.Time
	demand  Demand
}

// loadKey identifies a load.
type loadKey struct {
	group Group
	class Class
}

// Remembered returns the number of refused workloads that are remembered, and of those whose place is
// held.
func (f *Forecaster) Remembered() (refused, held int) {
	for _, l := range f.held {
		held += l.Count
	}
	return len(f.refused), held
}

// remember records the refusal of a demand that is worth nothing after limit. Beyond the bound, new ones are not remembered.
func (f *Forecaster) remember(now time.Time, d Demand, limit time.Duration, decision Decision) {
	r := f.refused[d.ID]
	switch {
	case r != nil:
		f.removeFromSums(r)
	case len(f.refused) >= f.config.MaxRemembered:
		return
	default:
		r = &refusal{first: decision.FirstAttempt, number: f.lastNumber + 1}
		f.lastNumber++
		f.refused[d.ID] = r
		f.inOrder = append(f.inOrder, r)
	}
	r.count++
	r.demand = d
	returnAt := now.Add(decision.RetryAfter)
	r.expires = returnAt.Add(f.config.ReturnGrace)
	// A place that can't help its caller any more would only keep others out.
	r.held = r.count >= f.config.HoldAfter && !returnAt.Add(d.ChainLow).After(r.first.Add(limit))
	f.addToSums(r)
}

// forget removes what is remembered of a workload.
func (f *Forecaster) forget(id string) {
	if r := f.refused[id]; r != nil {
		f.removeFromSums(r)
		delete(f.refused, id)
		at, _ := slices.BinarySearchFunc(f.inOrder, r.number, func(r *refusal, number int) int { return cmp.Compare(r.number, number) })
		f.inOrder = slices.Delete(f.inOrder, at, at+1)
	}
}

// expire removes the refusals whose callers haven't returned.
func (f *Forecaster) expire(now time.Time) {
	if now.Sub(f.expiredAt) < expiryPeriod {
		return
	}
	f.expiredAt = now
	f.inOrder = slices.DeleteFunc(f.inOrder, func(r *refusal) bool {
		expired := now.After(r.expires)
		if expired {
			f.removeFromSums(r)
			delete(f.refused, r.demand.ID)
		}
		return expired
	})
}

// refusedLoad sums up refused workloads of one group and class.
type refusedLoad struct {
	Load
	// processors are those that the workloads need at once.
	processors float64
}

func addRefused(loads map[loadKey]*refusedLoad, d Demand) {
	key := loadKey{group: d.Group, class: d.Class}
	l := loads[key]
	if l == nil {
		l = &refusedLoad{Load: Load{Group: d.Group, Class: d.Class}}
		loads[key] = l
	}
	l.Priority = d.Priority
	l.Count++
	l.Work += d.Work
	l.Memory += d.Memory
	l.Chain = max(l.Chain, d.ChainLow)
	l.processors += d.Processors
}

func removeRefused(loads map[loadKey]*refusedLoad, d Demand) {
	key := loadKey{group: d.Group, class: d.Class}
	l := loads[key]
	l.Count--
	l.Work -= d.Work
	l.Memory -= d.Memory
	l.processors -= d.Processors
	if l.Count <= 0 {
		delete(loads, key) // Rounding errors don't add up.
	}
}

// addToSums adds a refused workload to the sums, and to those of the places that are held if its place is.
func (f *Forecaster) addToSums(r *refusal) {
	addRefused(f.returning, r.demand)
	if r.held {
		addRefused(f.held, r.demand)
	}
}

// removeFromSums undoes addToSums.
func (f *Forecaster) removeFromSums(r *refusal) {
	removeRefused(f.returning, r.demand)
	if r.held {
		removeRefused(f.held, r.demand)
	}
}

// heldFor returns the loads of the places that are held and stand before a demand.
func (f *Forecaster) heldFor(d Demand) map[loadKey]*refusedLoad {
	if r := f.refused[d.ID]; r != nil && len(f.held) > 0 {
		return f.refusedBefore(r, true)
	}
	return f.held
}

// returningFor returns the loads of all refused workloads that stand before a demand and may return.
func (f *Forecaster) returningFor(d Demand) map[loadKey]*refusedLoad {
	if r := f.refused[d.ID]; r != nil {
		return f.refusedBefore(r, false)
	}
	return f.returning
}

// processorsOf returns the processors that refused workloads need at once.
func processorsOf(refused map[loadKey]*refusedLoad) float64 {
	sum := 0.0
	for _, key := range slices.SortedFunc(maps.Keys(refused), compareKeys) {
		sum += refused[key].processors
	}
	return sum
}

// refusedBefore returns the loads of the refused workloads, or only of those whose places are held, that stand
// before another refused one by their first attempts.
func (f *Forecaster) refusedBefore(r *refusal, onlyHeld bool) map[loadKey]*refusedLoad {
	loads := map[loadKey]*refusedLoad{}
	for _, other := range f.inOrder {
		if other == r {
			break
		}
		if other.held || !onlyHeld {
			addRefused(loads, other.demand)
		}
	}
	return loads
}

func compareKeys(a, b loadKey) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.group.Queue, b.group.Queue), cmp.Compare(a.group.DataCentre, b.group.DataCentre))
}

// retryAfter returns when the caller of a refused demand should return: once the work ahead, with that of
// refused workloads that stand before it, has shrunk to what a workload of its kind can wait for. It is not
// later than a return can still end in time, if there is such a time.
func (f *Forecaster) retryAfter(now time.Time, d Demand, b Backlog, r Room, limit time.Duration, decision Decision) time.Duration {
	ahead := workAhead(d, b.Loads, f.returningFor(d), false)
	wait := waitBehind(d, b, r, ahead, r.Rates[d.Class].mean()) + d.ChainLow - limit
	jitter := f.config.Jitter * fraction(d.ID, decision.Refusals)
	latest := decision.FirstAttempt.Add(limit - d.ChainLow).Sub(now)
	if latest < f.config.MinRetry {
		latest = f.config.MaxRetry
	}
	wait = max(wait, f.config.MinRetry/2)
	wait += time.Duration(jitter * float64(wait))
	if wait > latest {
		wait = time.Duration((1 - jitter) * float64(latest))
	}
	wait = wait.Round(time.Second)
	return max(f.config.MinRetry, min(wait, latest.Truncate(time.Second)))
}

// fraction returns a fraction, 0 to 1, that follows from the id and the number of refusals.
func fraction(id string, refusals int) float64 {
	const steps = 1 << 16
	h := fnv.New64a()
	_, _ = h.Write([]byte(id + "/" + strconv.Itoa(refusals)))
	sum := h.Sum64()
	return float64((sum^sum>>32)%steps) / steps
}
