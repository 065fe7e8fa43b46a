package elector

import (
	"cmp"
	"slices"
	"time"

	"apricotwinch/messenger"
)

const (
	// maxSightings bounds the epochs of which an entry remembers when it learned of them.
	maxSightings = 64
	// maxClockDrift is the share of its rate, 0 to 1, by which the clock of another entry may be fast.
	maxClockDrift = 0.02
)

// sighting is a time by which an epoch had been claimed.
type sighting struct {
	epoch int64
	at    time.Time
}

// setEpoch sets the greatest known epoch, and records when this entry learned of it.
func (e *Elector) setEpoch(now time.Time, epoch int64) {
	if epoch > e.epoch {
		e.recordSighting(now, epoch)
	}
	e.epoch = epoch
}

// recordSighting records a time by which an epoch had been claimed. The sightings stay in order of their
// epochs, and of their times: the time of a later epoch holds for earlier ones, too.
func (e *Elector) recordSighting(at time.Time, epoch int64) {
	i, _ := slices.BinarySearchFunc(e.sightings, epoch, func(s sighting, epoch int64) int { return cmp.Compare(s.epoch, epoch) })
	if i < len(e.sightings) && !e.sightings[i].at.After(at) {
		return
	}
	first := i
	for first > 0 && !e.sightings[first-1].at.Before(at) {
		first--
	}
	if i < len(e.sightings) && e.sightings[i].epoch == epoch {
		i++
	}
	e.sightings = slices.Replace(e.sightings, first, i, sighting{epoch: epoch, at: at})
	if len(e.sightings) > maxSightings {
		e.sightings = slices.Delete(e.sightings, 0, 1)
	}
}

// handleEpochAge records for how long the sender of a ping had known of its epoch when it sent the ping, so
// that an entry that has started again needn't count from its start. The time under way only
// makes the claim seem later than it was.
func (e *Elector) handleEpochAge(now time.Time, ping messenger.Ping) {
	if int64(ping.Epoch) > e.epoch || ping.EpochMillis <= 0 {
		return
	}
	age := time.Duration(float64(ping.EpochMillis) * (1 - maxClockDrift) * float64(time.Millisecond))
	e.recordSighting(now.Add(-age), int64(ping.Epoch))
}

// epochAge returns for how long this entry has known of the greatest known epoch.
func (e *Elector) epochAge(now time.Time) time.Duration {
	at, ok := e.LearnedAt(e.epoch)
	if !ok {
		return 0
	}
	return max(0, now.Sub(at))
}

// LearnedAt returns a time by which epoch or a later one had been claimed: when this entry, or one that it
// heard of it, first knew that, or a later time if it doesn't remember. ok is false if it knows of no
// such epoch.
func (e *Elector) LearnedAt(epoch int64) (at time.Time, ok bool) {
	i := slices.IndexFunc(e.sightings, func(s sighting) bool { return s.epoch >= epoch })
	if i < 0 {
		return time.Time{}, false
	}
	return e.sightings[i].at, true
}
