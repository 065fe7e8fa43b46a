package tracker

import (
	"errors"
	"time"

	"apricotwinch"
	"apricotwinch/messenger"
)

// ObserveDigest applies the heartbeats in a peer's digest and returns the changes. It
// skips malformed heartbeats, applies the others and returns an error of kind Invalid
// that names each malformed one. It applies nothing if the digest has another number
// of ages than of hosts.
func (t *Tracker) ObserveDigest(now time.Time, digest messenger.Digest) ([]Change, error) {
	if len(digest.AgesMillis) != len(digest.Hosts) {
		return nil, apricotwinch.Errorf(apricotwinch.Invalid, "digest of %s: agesMillis has %d values for %d hosts",
			digest.Entry, len(digest.AgesMillis), len(digest.Hosts))
	}
	changes := make([]Change, 0, len(digest.Hosts))
	var errs []error
	for i, announce := range digest.Hosts {
		change, err := t.observeWithAge(now, announce, digest.AgesMillis[i])
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

// observeWithAge applies a heartbeat that an agent sent ageMillis before now. Ages
// are capped at the time after which hosts are forgotten.
func (t *Tracker) observeWithAge(now time.Time, announce messenger.Announce, ageMillis int) (Change, error) {
	if ageMillis < 0 {
		return Change{}, apricotwinch.Errorf(apricotwinch.Invalid, "agesMillis of host %q is negative", announce.Host)
	}
	ageMillis = min(ageMillis, int(t.config.forgetAfter.Milliseconds()))
	received := now.Add(-time.Duration(ageMillis) * time.Millisecond)
	return t.observe(now, Host{announce: announce, received: received, firstSeen: received})
}

// Digest returns, for this entry's peers, the latest heartbeats that agents sent
// directly to this entry after since, sorted by host name.
func (t *Tracker) Digest(now, since time.Time, entry, incarnation string) messenger.Digest {
	digest := messenger.Digest{Entry: entry, Incarnation: incarnation}
	for host := range t.Hosts() {
		if !host.Direct() || !host.Received().After(since) {
			continue
		}
		digest.Hosts = append(digest.Hosts, host.announceForPeers(since))
		digest.AgesMillis = append(digest.AgesMillis, int(now.Sub(host.Received()).Milliseconds()))
	}
	return digest
}
