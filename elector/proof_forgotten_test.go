package elector_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/elector"
	"apricotwinch/messenger"
)

// TestForgottenEntryMayClaim guards against two owners that act for longer than the successor waits: an entry that was
// silent for so long that the owner has forgotten it comes back behind a cut, with the store, and claims. The replies of
// the entries that the owner still knows don't prove that it has no successor.
func TestForgottenEntryMayClaim(t *testing.T) {
	knownRed(t)
	config := elector.DefaultConfig()
	s := newFixture()
	s.RecordClaim(s.now, s.now, 1)
	s.HandlePingReply(s.now, s.now, ping("entry-a", 1, nil))
	s.HandlePingReply(s.now, s.now, ping("entry-c", 1, nil))
	// entry-c goes silent; the store and entry-a answer until it is forgotten.
	for range 70 {
		s.PingTargets(s.now)
		s.advance(time.Second, true, ping("entry-a", 1, nil))
	}
	known := s.PeerCount()
	// From here on, the store doesn't answer, and entry-c may be back on its side of the cut.
	cutOff := ping("entry-a", 1, func(p *messenger.Ping) { p.StoreMillis = int(config.AuthorityTimeout.Milliseconds()) })
	s.advance(config.AuthorityTimeout+time.Second, false, cutOff)
	if diff := cmp.Diff(false, s.HasAuthority(s.now)); diff != "" {
		t.Errorf("authority %s after the store's last answer, with %d other entries known of 2 (-want +got):\n%s", config.AuthorityTimeout+time.Second, known, diff)
	}
}
