package prover_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"apricotwinch/appender"
	"apricotwinch/checker"
	"apricotwinch/messenger"
	"apricotwinch/standin/disrupter"
	"apricotwinch/standin/logserver"
	"apricotwinch/standin/runner"
)

// faultDuration is how long a fault lasts. It is longer than a lease with its margin, and
// longer than the takeover of a partition.
const faultDuration = 5 * time.Second

// fault is one fault of a cluster that runs a job. inject causes it and returns the
// function that ends it, or nil.
type fault struct {
	name   string
	inject func(c *cluster, job int) func()
}

// loseAllAnswers makes a stand-in carry out every call but lose its answer.
var loseAllAnswers = disrupter.Faults{LoseResponses: disrupter.LoseAllResponses}

var (
	hostDies = fault{"host dies", func(c *cluster, job int) func() {
		c.killHost(c.hostRunning(job))
		return nil
	}}
	agentPaused = fault{"agent paused", func(c *cluster, job int) func() {
		return c.pauseAgent(c.hostRunning(job))
	}}
	agentReplaced = fault{"agent replaced", func(c *cluster, job int) func() {
		return c.killAgent(c.hostRunning(job))
	}}
	ownerPaused = fault{"owner paused", func(c *cluster, job int) func() {
		e := c.owner(job)
		e.pause()
		return e.resume
	}}
	ownerReplaced = fault{"owner replaced", func(c *cluster, job int) func() {
		e := c.owner(job)
		e.kill()
		return func() { e.start(c) }
	}}
	ownerShutDown = fault{"owner shut down", func(c *cluster, job int) func() {
		e := c.owner(job)
		e.terminate()
		return func() { e.start(c) }
	}}
	ownerCutFromAgents = fault{"owner cut off from agents", func(c *cluster, job int) func() {
		e := c.owner(job)
		e.peerLink.Partition()
		return e.peerLink.Heal
	}}
	ownerCutFromLog = fault{"owner cut off from the log", func(c *cluster, job int) func() {
		e := c.owner(job)
		e.logLink.Partition()
		return e.logLink.Heal
	}}
	logDown = fault{"log down", func(c *cluster, _ int) func() {
		c.setLogFaults(logserver.Faults{Faults: disrupter.Faults{Down: true}})
		return func() { c.setLogFaults(logserver.Faults{}) }
	}}
	logLosesAnswers = fault{"log loses answers", func(c *cluster, _ int) func() {
		c.setLogFaults(logserver.Faults{Faults: loseAllAnswers})
		return func() { c.setLogFaults(logserver.Faults{}) }
	}}
	workerDown = fault{"worker down", func(c *cluster, job int) func() {
		h := c.hostRunning(job)
		c.setFaults(h.worker, runner.Faults{Faults: disrupter.Faults{Down: true}})
		return func() { c.setFaults(h.worker, runner.Faults{}) }
	}}
	workerLosesAnswers = fault{"worker loses answers", func(c *cluster, job int) func() {
		h := c.hostRunning(job)
		c.setFaults(h.worker, runner.Faults{Faults: loseAllAnswers})
		return func() { c.setFaults(h.worker, runner.Faults{}) }
	}}
	leasesLapse = fault{"leases lapse", func(c *cluster, job int) func() {
		c.setFaults(c.hostRunning(job).worker, runner.Faults{ExpireLeases: true})
		return nil
	}}
)

// faultSchedules lists, for each case, the faults in the order in which they begin; they
// end together.
var faultSchedules = [][]fault{
	{hostDies}, {agentPaused}, {agentReplaced}, {ownerPaused}, {ownerReplaced}, {ownerShutDown},
	{ownerCutFromAgents}, {ownerCutFromLog}, {logDown}, {logLosesAnswers}, {workerDown},
	{workerLosesAnswers}, {leasesLapse},
	{agentPaused, ownerReplaced}, {agentPaused, ownerPaused}, {ownerPaused, hostDies},
	{logLosesAnswers, ownerReplaced}, {workerLosesAnswers, ownerPaused}, {ownerCutFromAgents, leasesLapse},
	{ownerCutFromLog, agentReplaced}, {logDown, hostDies}, {workerLosesAnswers, agentReplaced},
}

// TestJobsFinishExactlyOnce runs a batch job and a watch job under each schedule of faults.
// No task may run in two places, get lost or run again after it completed; evicted work
// must resume; no host may exceed its capacity.
func TestJobsFinishExactlyOnce(t *testing.T) {
	for _, schedule := range faultSchedules {
		name := schedule[0].name
		if len(schedule) > 1 {
			name += " and " + schedule[1].name
		}
		t.Run(name, func(t *testing.T) {
			if name == "log loses answers" || name == "worker loses answers" {
				knownRed(t)
			}
			t.Parallel()
			// Two hosts can hold all the work, so that no task has to wait for the faulty host.
			c := newCluster(t, options{entries: 2, hosts: 3, outageAllowance: faultDuration})
			watch := c.submitAccepted(c.entries[0], jobOptions{name: "watch", tasks: 2, watch: true})
			batch := c.submitAccepted(c.entries[1], jobOptions{name: "batch", tasks: 6, runMillis: 8000, taskProcessorMillis: 1000})
			c.awaitRunning(c.entries[0], watch, 2)
			c.awaitRunning(c.entries[0], batch, 6)
			var ends []func()
			for _, f := range schedule {
				if end := f.inject(c, batch); end != nil {
					ends = append(ends, end)
				}
			}
			time.Sleep(faultDuration)
			for _, end := range ends {
				end()
			}
			c.awaitReady()
			c.awaitCompleted(c.entries[0], batch)
			c.awaitRunning(c.entries[1], watch, 2)
			c.checkEvidence()
		})
	}
}

// owner returns the entry that owns the partition of the team according to its own metrics.
// The result only decides which entry a fault affects.
func (c *cluster) owner(_ int) *entry {
	c.t.Helper()
	var owner *entry
	await(c.t, "a partition owner", func() bool {
		for _, e := range c.entries {
			if c.assignedAttempts(e) > 0 {
				owner = e
			}
		}
		return owner != nil
	})
	return owner
}

// TestDataCentreOut takes a data centre out of service and brings it back, alone and
// together with a second fault. No task may start there meanwhile, and its tasks must
// resume elsewhere.
func TestDataCentreOut(t *testing.T) {
	tests := []struct {
		name   string
		inject func(c *cluster) func()
	}{
		{"alone", func(*cluster) func() { return func() {} }},
		{"agent paused", func(c *cluster) func() {
			return c.pauseAgent(c.hosts[0])
		}},
		{"other entry cut off from the log", func(c *cluster) func() {
			c.entries[1].logLink.Partition()
			return c.entries[1].logLink.Heal
		}},
		{"log loses answers", func(c *cluster) func() {
			c.setLogFaults(logserver.Faults{Faults: loseAllAnswers})
			return func() { c.setLogFaults(logserver.Faults{}) }
		}},
		{"entry replaced", func(c *cluster) func() {
			c.entries[1].kill()
			return func() { c.entries[1].start(c) }
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if test.name == "other entry cut off from the log" {
				knownRed(t)
			}
			t.Parallel()
			c := newCluster(t, options{entries: 2, dataCentres: []string{"kopli", "kalamaja"}, hosts: 2, outageAllowance: faultDuration})
			e := c.entries[0]
			watch := c.submitAccepted(e, jobOptions{name: "watch", tasks: 4, watch: true})
			batch := c.submitAccepted(e, jobOptions{name: "batch", tasks: 12, runMillis: 6000, taskProcessorMillis: 1000})
			c.awaitRunning(e, watch, 4)
			c.awaitRunning(e, batch, 6)
			end := test.inject(c)
			c.switchDataCentre(e, "kopli", "out")
			var late []int
			for i := range 5 {
				late = append(late, c.submitAccepted(e, jobOptions{name: fmt.Sprint("late-", i), tasks: 2, runMillis: 500}))
				time.Sleep(time.Second)
			}
			end()
			c.awaitReady()
			for _, job := range append(late, batch) {
				c.awaitCompleted(e, job)
			}
			c.awaitRunning(e, watch, 4)
			c.switchDataCentre(e, "kopli", "back")
			back := c.submitAccepted(e, jobOptions{name: "back", tasks: 10, runMillis: 2000, taskProcessorMillis: 1000})
			await(t, "a task starts in kopli again", func() bool { return c.runsInDataCentre(back, "kopli") })
			c.awaitCompleted(e, back)
			c.checkEvidence()
		})
	}
}

// TestStaleSettingsStartNothing takes a data centre out of service by an edit that no entry
// sees, because reads of the settings fail. No task may start there after MaxStartAfterOut.
func TestStaleSettingsStartNothing(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{entries: 2, dataCentres: []string{"kopli", "kalamaja"}, hosts: 1})
	e := c.entries[0]
	base := c.settingRevision(e, "dataCentres/kopli")
	c.setLogFaults(logserver.Faults{ReadsDown: []string{appender.StreamSettings}})
	c.appendRecord(appender.StreamSettings, messenger.EditRecord{
		Id: "out", Author: "operators/root", Path: "dataCentres/kopli", Base: base,
		Value: json.RawMessage(`{"region":"` + region + `","out":true}`),
	})
	c.mu.Lock()
	c.evidence.OutOfService = append(c.evidence.OutOfService, checker.Window{Subject: "kopli", From: time.Now()})
	c.mu.Unlock()
	var jobs []int
	for i := range 8 {
		jobs = append(jobs, c.submitAccepted(e, jobOptions{name: fmt.Sprint("job-", i), tasks: 8, runMillis: 300, taskProcessorMillis: 2000}))
		time.Sleep(time.Second)
	}
	c.setLogFaults(logserver.Faults{})
	for _, job := range jobs {
		c.awaitCompleted(e, job)
	}
	c.checkEvidence()
}

func (c *cluster) runsInDataCentre(job int, dataCentre string) bool {
	for _, entry := range c.runningAttempts(c.job(job).ID) {
		if entry.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

// TestWorkContinuesDuringLogOutage takes the log down for longer than a lease. Idempotent
// requests are still answered, running tasks keep their leases, keyed requests are refused
// as not run, and the submitted work completes afterwards.
func TestWorkContinuesDuringLogOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{entries: 2, hosts: 2, targets: true, outageAllowance: time.Minute})
	e := c.entries[0]
	watch := c.submitAccepted(e, jobOptions{name: "watch", tasks: 2, watch: true})
	batch := c.submitAccepted(e, jobOptions{name: "batch", tasks: 4, runMillis: 3000})
	c.awaitRunning(e, watch, 2)
	c.awaitRunning(e, batch, 4)
	load := c.startLoad(4, true)
	c.awaitFurtherAnswers(load, 20)
	before := len(c.runningAttempts(c.job(watch).ID))
	c.setLogFaults(logserver.Faults{Faults: disrupter.Faults{Down: true}})
	time.Sleep(2 * faultDuration)
	c.awaitFurtherAnswers(load, 20)
	if keyed := c.sendRequest(e, "keyed caller", "key", false); keyed.Outcome != checker.NotRun {
		t.Errorf("keyed request during the outage: %s", keyed.Outcome)
	}
	after := c.runningAttempts(c.job(watch).ID)
	if len(after) != before {
		t.Errorf("%d of %d watch tasks run after the log was down for %s", len(after), before, 2*faultDuration)
	}
	for _, entry := range after {
		if entry.Attempt != 1 {
			t.Errorf("task %s was restarted during the outage", entry.AttemptID())
		}
	}
	c.setLogFaults(logserver.Faults{})
	c.awaitCompleted(e, batch)
	c.awaitCompleted(e, c.submitEventually(e, jobOptions{name: "later", runMillis: 500}))
	load.stop()
	c.checkEvidence()
}

// TestLogOutageRefusesSubmissions submits a job after the log has been down for longer than
// a lease. The job must be refused as not run before the caller times out.
func TestLogOutageRefusesSubmissions(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{entries: 2, hosts: 1, outageAllowance: time.Minute})
	c.setLogFaults(logserver.Faults{Faults: disrupter.Faults{Down: true}})
	time.Sleep(faultDuration)
	for _, e := range c.entries {
		if number := c.submit(e, jobOptions{name: "refused by " + e.name}); c.job(number).Outcome != checker.NotRun {
			t.Errorf("submission to %s during the outage: %s", e.name, c.job(number).Outcome)
		}
	}
	c.setLogFaults(logserver.Faults{})
	c.awaitCompleted(c.entries[0], c.submitEventually(c.entries[0], jobOptions{name: "later", runMillis: 500}))
	c.checkEvidence()
}

// TestHostsAreNotOvercommitted lets several teams, whose jobs have different owners, submit
// more work than the hosts can hold while a worker loses answers and an agent is replaced.
func TestHostsAreNotOvercommitted(t *testing.T) {
	t.Parallel()
	teams := []string{"packers", "couriers", "stock", "sales", "design", "panels", "quotes"}
	c := newCluster(t, options{entries: 2, hosts: 2, targets: true, teams: teams})
	var jobs []int
	for i, name := range append(teams, teams...) {
		o := jobOptions{name: fmt.Sprint("job-", i), team: name, tasks: 4, runMillis: 800, taskProcessorMillis: 1400}
		jobs = append(jobs, c.submitAccepted(c.entries[i%2], o))
	}
	c.setFaults(c.hosts[0].worker, runner.Faults{Faults: disrupter.Faults{LoseResponses: 10}})
	time.Sleep(faultDuration)
	c.killAgent(c.hosts[1])()
	for _, job := range jobs {
		c.awaitCompleted(c.entries[0], job)
	}
	c.checkEvidence()
}

// TestCanceledJobsEnd cancels a running job. Its tasks must end and not start again.
func TestCanceledJobsEnd(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{entries: 2, hosts: 2})
	e := c.entries[0]
	job := c.submitAccepted(e, jobOptions{name: "canceled", tasks: 12, runMillis: 60000, taskProcessorMillis: 1000})
	c.awaitRunning(e, job, 4)
	if outcome := c.call(c.entries[1], http.MethodDelete, "/v1/jobs/"+c.job(job).ID, teamToken, nil, nil); outcome != checker.Answered {
		t.Fatalf("cancel: %s", outcome)
	}
	c.mu.Lock()
	c.evidence.Jobs[job].Canceled = true
	c.mu.Unlock()
	await(t, "every task is canceled", func() bool {
		state, ok := c.jobState(e, job)
		return ok && len(tasksInPhase(state, messenger.TaskCanceled)) == len(state.Tasks) && len(c.runningAttempts(c.job(job).ID)) == 0
	})
	c.checkEvidence()
}
