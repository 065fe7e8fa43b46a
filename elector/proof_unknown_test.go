package elector_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/elector"
)

// TestNewProcessOfUnheardEntryProvesNothing guards against an owner that takes a process of an entry that has just
// started for a proof, though an earlier process of it, which this owner never heard, may have claimed.
func TestNewProcessOfUnheardEntryProvesNothing(t *testing.T) {
	config := elector.DefaultConfig()
	s := newFixture()
	s.RecordClaim(s.now, s.now, 1)
	s.AddMember(s.now, member("entry-a"))
	s.advance(config.AuthorityTimeout+time.Second, false)
	before := s.HasAuthority(s.now)
	next := ping("entry-a", 1, nil)
	next.Member.Incarnation += "-next"
	s.HandlePingReply(s.now, s.now, next)
	if diff := cmp.Diff([]bool{false, false}, []bool{before, s.HasAuthority(s.now)}); diff != "" {
		t.Errorf("authority before and after the reply (-want +got):\n%s", diff)
	}
}
