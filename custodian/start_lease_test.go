package custodian_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"apricotwinch/custodian"
)

// TestNoStartWithoutLease guards against a run that its owner takes for ended: the agent has granted no lease, and the
// executor has one by a call for its last incarnation.
func TestNoStartWithoutLease(t *testing.T) {
	for _, test := range []struct {
		name    string
		prepare func(*fixture)
		// want is the number of starts once a lease is granted. The owner may have started the task elsewhere since
		// the last one has ended.
		want int
	}{
		{name: "none yet", prepare: func(s *fixture) {
			s.Custodian = custodian.New(start, custodian.DefaultConfig(), "host", "host:1", "i1", hclog.NewNullLogger(), metrics.NewRegistry())
			s.now = start
			s.announce(nil)
			s.hold(custodian.HoldAnswer{}, nil)
		}, want: 1},
		{name: "ended", prepare: func(s *fixture) { s.now = s.now.Add(custodian.DefaultConfig().Lease) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newFixture()
			test.prepare(s)
			calls, err := s.HandleOrders(s.now, s.orders(order(0, 1, 1000)))
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(0, len(calls.Starts)); diff != "" {
				t.Errorf("starts without a lease (-want +got):\n%s", diff)
			}
			s.renew()
			s.hold(custodian.HoldAnswer{}, nil)
			s.now = s.now.Add(100 * time.Millisecond)
			calls, _ = s.Tick(s.now)
			if diff := cmp.Diff(test.want, len(calls.Starts)); diff != "" {
				t.Errorf("starts with a lease (-want +got):\n%s", diff)
			}
		})
	}
}
