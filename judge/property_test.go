package judge_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"apricotwinch/judge"
	"apricotwinch/placer"
)

// court drives a judge with random attempts: host 0 fails everything and jobs
// that begin with poison fail everywhere.
type court struct {
	judge    *judge.Judge
	now      time.Time
	standing map[int]placer.Standing
	parked   map[string]bool
	attempts map[string]int
	onBad    int
	trials   int
}

const courtHosts = 20

func (c *court) run(t *rapid.T, job string) {
	host := rapid.IntRange(0, courtHosts-1).Draw(t, "host")
	avoid := c.judge.Avoid(job)
	if c.standing[host] == placer.Closed || slices.Contains(avoid, fmt.Sprintf("host-%d", host)) || c.parked[job] {
		return
	}
	if c.standing[host] == placer.Trial {
		c.standing[host] = placer.Closed
	}
	c.attempts[job]++
	a := attempt(job, 0, c.attempts[job], host)
	if host == 0 {
		c.onBad++
	}
	if host != 0 && job[0] == 'g' {
		c.judge.Completed(c.now, a)
		return
	}
	v := c.judge.Failed(c.now, a, 0)
	c.parked[job] = v.Park()
	if v.Park() && job[0] == 'g' {
		t.Fatalf("sound %s parked: %s", job, v.Reason())
	}
	if !v.Park() && (!v.NotBefore().After(c.now) || v.NotBefore().After(c.now.Add(judge.DefaultConfig().BackoffMax))) {
		t.Fatalf("retry at %s, now %s", v.NotBefore(), c.now)
	}
}

func (c *court) apply(t *rapid.T) {
	held := 0
	for _, change := range c.judge.Changes() {
		var host int
		if _, err := fmt.Sscanf(change.Host(), "host-%d", &host); err != nil {
			t.Fatal(err)
		}
		c.standing[host] = change.Standing()
		if host == 0 && change.Reason() == judge.HostTrial {
			c.trials++
		}
	}
	for _, standing := range c.standing {
		if standing != placer.Open {
			held++
		}
	}
	if held > 2 {
		t.Fatalf("%d of %d hosts in quarantine", held, courtHosts)
	}
}

func TestTellsJobsFromHostsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &court{
			judge:    newJudge(courtHosts),
			now:      epoch,
			standing: map[int]placer.Standing{},
			parked:   map[string]bool{},
			attempts: map[string]int{},
		}
		poisons := rapid.IntRange(0, 2).Draw(t, "poisons")
		for step := range 300 {
			c.now = c.now.Add(time.Second)
			job := fmt.Sprintf("good-%d", step/2)
			if poisons > 0 && step%3 == 0 {
				job = fmt.Sprintf("poison-%d", step%poisons)
			}
			c.run(t, job)
			c.judge.Tick(c.now)
			c.apply(t)
		}
		limit := judge.DefaultConfig().HardLimit
		for job, attempts := range c.attempts {
			if job[0] == 'p' && attempts > limit {
				t.Fatalf("%s had %d attempts", job, attempts)
			}
		}
		// The host gets the failures that convict it, work known to be bad, and trials.
		if bound := 2*judge.DefaultConfig().QuarantineFailures + c.trials; c.onBad > bound {
			t.Fatalf("%d attempts on the bad host, bound %d", c.onBad, bound)
		}
	})
}
