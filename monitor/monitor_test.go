package monitor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"apricotwinch/monitor"
)

const period = 200 * time.Millisecond

// fleet plays executors whose tasks of one second follow each other.
type fleet struct {
	*monitor.Monitor
	now     time.Time
	percent map[string]float64
	number  map[string]int
}

func newFleet() *fleet {
	return &fleet{Monitor: monitor.New(monitor.DefaultConfig()), now: time.Unix(1000, 0), percent: map[string]float64{}, number: map[string]int{}}
}

// play lets every executor work at its speed for a while.
func (f *fleet) play(d time.Duration, fresh bool, share float64, speeds map[string]float64) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(period)
		for _, id := range []string{"a", "b", "c", "d"} {
			speed, ok := speeds[id]
			if !ok {
				continue
			}
			f.percent[id] += 100 * speed * period.Seconds()
			if f.percent[id] >= 100 {
				f.percent[id] = 0
				f.number[id]++
			}
			f.Observe(f.now, id, fresh, []monitor.Progress{{
				Task: fmt.Sprint("task-", f.number[id]), Percent: int(f.percent[id]), Estimate: time.Second, Share: share,
			}})
		}
	}
}

func TestVerdict(t *testing.T) {
	tests := []struct {
		name   string
		speed  float64
		others float64
		lasts  time.Duration
		stale  bool
		share  float64
		want   monitor.Verdict
	}{
		{name: "as fast as others", speed: 1, others: 1, lasts: 3 * time.Second, share: 1},
		{name: "a little slower", speed: 0.6, others: 1, lasts: 3 * time.Second, share: 1},
		{name: "four times slower", speed: 0.25, others: 1, lasts: 2 * time.Second, share: 1, want: monitor.Slow},
		{name: "as slow as all, as estimates are off", speed: 0.5, others: 0.5, lasts: 3 * time.Second, share: 1},
		{name: "hangs", speed: 0, others: 1, lasts: 1200 * time.Millisecond, share: 1, want: monitor.Still},
		{name: "hangs for a moment", speed: 0, others: 1, lasts: 400 * time.Millisecond, share: 1},
		{name: "does not answer", speed: 0, others: 1, lasts: 3 * time.Second, stale: true, share: 1},
		{name: "is held back", speed: 0, others: 1, lasts: 3 * time.Second, share: 0.1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet()
			others := map[string]float64{"a": 1, "b": test.others, "c": test.others, "d": test.others}
			f.play(3*time.Second, true, 1, others)
			others["a"] = test.speed
			f.play(test.lasts, !test.stale, test.share, others)
			if diff := cmp.Diff(test.want, f.Verdict(f.now, "a")); diff != "" {
				t.Errorf("verdict (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(monitor.Sound, f.Verdict(f.now, "b")); diff != "" {
				t.Errorf("verdict of another one (-want +got):\n%s", diff)
			}
		})
	}
}

// TestVerdictFades holds that an executor gets a trial after a while, and that progress
// clears one that stood still at once.
func TestVerdictFades(t *testing.T) {
	f := newFleet()
	sound := map[string]float64{"a": 1, "b": 1, "c": 1}
	f.play(2*time.Second, true, 1, sound)
	f.play(1200*time.Millisecond, true, 1, map[string]float64{"a": 0, "b": 1, "c": 1})
	if got := f.Verdict(f.now.Add(5*time.Second), "a"); got != monitor.Sound {
		t.Errorf("verdict after 5 s without evidence: %q", got)
	}
	f.play(400*time.Millisecond, true, 1, sound)
	if got := f.Verdict(f.now, "a"); got == monitor.Still {
		t.Errorf("verdict after progress: %q", got)
	}
}
