package conductor_test

import (
	"fmt"
	"testing"
	"time"

	"apricotwinch"
	"apricotwinch/cataloger"
	"apricotwinch/conductor"
	"apricotwinch/messenger"
)

// TestAdviceForTasksThatAllowedExecutorsDoNotTake guards against steps that never run, as an executor that is
// allowed has room for one task and still doesn't take what the step needs, while others are never asked
// about.
func TestAdviceForTasksThatAllowedExecutorsDoNotTake(t *testing.T) {
	tests := []struct {
		name     string
		step     messenger.StepSpec
		capacity apricotwinch.Resources
	}{
		{name: "gang", step: tasks(6, 4000, time.Hour, func(s *messenger.StepSpec) { s.Gang = true }), capacity: apricotwinch.NewResources(16_000, 64_000, 0)},
		{name: "reserve", step: tasks(1, 15_000, time.Hour, longRunning), capacity: apricotwinch.NewResources(32_000, 64_000, 0)},
		{name: "best-effort task wider than an executor", step: tasks(1, 40_000, time.Hour, bestEffort), capacity: apricotwinch.NewResources(16_000, 64_000, 0)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 4)
			for i, h := range sim.hosts {
				h.dc = fmt.Sprint("dc-", i)
			}
			sim.owner.SetCatalog(cataloger.New(2, 1<<20, []cataloger.Queue{
				{Name: batchQueue, Service: service, MaxAttempts: 3, Advised: true, TicketLife: time.Minute},
			}))
			requests := 0
			sim.advise = func(q conductor.AdviceRequest) (map[string]string, error) {
				requests++
				tickets := map[string]string{}
				for _, id := range q.Executors {
					tickets[id] = sim.issueTicket(q.Step, id, time.Minute)
				}
				return tickets, nil
			}
			// Only one executor is known when the first advice is requested.
			for _, h := range sim.hosts[1:] {
				h.disconnected = true
				h.executor.capacity = test.capacity
			}
			sim.run(2 * time.Second)
			sim.submit(batchQueue, "w", test.step)
			sim.run(time.Second)
			for _, h := range sim.hosts {
				h.disconnected = false
			}
			sim.runUntil(maxIdleTime, func() bool { return sim.running("w") == test.step.Tasks })
			if requests > 2 {
				t.Errorf("%d requests, want at most 2", requests)
			}
		})
	}
}

// TestTicketsOutliveTheirRequest guards against steps that never run, as a request names so many executors that
// its answer comes after the tickets have expired.
func TestTicketsOutliveTheirRequest(t *testing.T) {
	const ticketLife = time.Second
	sim := newSimulation(t, 1, 12)
	sim.slowAdvice = true
	sim.owner.SetCatalog(cataloger.New(2, 1<<20, []cataloger.Queue{{
		Name: batchQueue, Service: service, MaxAttempts: 3, Advised: true, AdviceDecide: 100 * time.Millisecond,
		AdviceEach: 100 * time.Millisecond, TicketLife: ticketLife,
	}}))
	sim.advise = func(q conductor.AdviceRequest) (map[string]string, error) {
		tickets := map[string]string{}
		for _, id := range q.Executors {
			tickets[id] = sim.issueTicket(q.Step, id, ticketLife)
		}
		return tickets, nil
	}
	sim.run(2 * time.Second)
	sim.submit(batchQueue, "w", tasks(1, 1000, time.Hour))
	sim.runUntil(maxIdleTime, func() bool { return sim.running("w") == 1 })
}
