package coordinator_test

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"apricotwinch"
)

// TestRefusalOfRepeat guards against a refusal that says that a workload was not accepted, though an earlier request had it
// accepted, at the owner and at another entry, and against a crowd of refusals that all ask the owner.
func TestRefusalOfRepeat(t *testing.T) {
	d := newDeployment(t, 2)
	eventually(t, "the owner has written all that it must", d.isSettled)
	if _, err := d.entries[0].Submit(t.Context(), newRequest("accepted")); err != nil {
		t.Fatal(err)
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for i, entry := range d.entries {
		refuse := func(ctx context.Context, id string) apricotwinch.Kind {
			_, err := entry.Refuse(ctx, newRequest(id), apricotwinch.Errorf(apricotwinch.Overloaded, "no memory"))
			return apricotwinch.KindOf(err)
		}
		got := []apricotwinch.Kind{refuse(t.Context(), "accepted"), refuse(canceled, "accepted"), refuse(t.Context(), "other")}
		if diff := cmp.Diff([]apricotwinch.Kind{"", "", apricotwinch.Overloaded}, got); diff != "" {
			t.Errorf("entry %d: kinds of refusals of an accepted workload, with a canceled context, and of another one (-want +got):\n%s", i, diff)
		}
		const crowd = 100
		unknown := 0
		for range crowd {
			switch kind := refuse(t.Context(), "other"); kind {
			case apricotwinch.Unknown:
				unknown++
			case apricotwinch.Overloaded:
			default:
				t.Errorf("entry %d: a refusal fails with kind %q", i, kind)
			}
		}
		if unknown == 0 {
			t.Errorf("entry %d: all of %d refusals asked the owner", i, crowd)
		}
	}
}

// TestRefusalWithoutOwner guards against a refusal that says that a workload was not accepted while no owner can tell.
func TestRefusalWithoutOwner(t *testing.T) {
	d := newDeployment(t, 1)
	eventually(t, "the owner has written all that it must", d.isSettled)
	d.store.setUnresponsive(true)
	_, err := d.entries[0].Refuse(t.Context(), newRequest("other"), apricotwinch.Errorf(apricotwinch.TooSlow, "too slow"))
	if kind := apricotwinch.KindOf(err); kind != apricotwinch.Unknown {
		t.Errorf("kind %q (%v), want %q", kind, err, apricotwinch.Unknown)
	}
}
