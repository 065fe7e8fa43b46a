package tracker

import (
	"errors"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// ObserveDigest takes a peer's digest and returns what it changed. A malformed
// heartbeat in it is named in the error, of kind Invalid, and the others count.
func (t *Tracker) ObserveDigest(now time.Time, digest messenger.Digest) ([]Change, error) {
	if len(digest.AgesMillis) != len(digest.Hosts) {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "digest of %s: agesMillis has %d values for %d hosts",
			digest.Entry, len(digest.AgesMillis), len(digest.Hosts))
	}
	changes := make([]Change, 0, len(digest.Hosts))
	var errs []error
	for i, announce := range digest.Hosts {
		change, err := t.observeAged(now, announce, digest.AgesMillis[i])
		if err != nil {
			errs = append(errs, err)
			continue
		}
		changes = append(changes, change)
	}
	if len(errs) > 0 {
		return changes, apricotwinch.Errorf(apricotwinch.Invalid, "digest of %s: %w", digest.Entry, errors.Join(errs...))
	}
	return changes, nil
}

func (t *Tracker) observeAged(now time.Time, announce messenger.Announce, ageMillis int) (Change, error) {
	if ageMillis < 0 {
		return Change{}, apricotwinch.Errorf(apricotwinch.Invalid, "agesMillis of host %q is negative", announce.Host)
	}
	ageMillis = min(ageMillis, int(t.config.forgetAfter.Milliseconds()))
	received := now.Add(-time.Duration(ageMillis) * time.Millisecond)
	return t.observe(now, Host{announce: announce, received: received, firstSeen: received})
}

// Digest returns the heartbeats that agents sent to this entry after since, for
// its peers, in order of the hosts' names.
func (t *Tracker) Digest(now, since time.Time, entry, incarnation string) messenger.Digest {
	digest := messenger.Digest{Entry: entry, Incarnation: incarnation}
	for host := range t.Hosts() {
		if !host.Direct() || !host.Received().After(since) {
			continue
		}
		digest.Hosts = append(digest.Hosts, host.passOn(since))
		digest.AgesMillis = append(digest.AgesMillis, int(now.Sub(host.Received()).Milliseconds()))
	}
	return digest
}
