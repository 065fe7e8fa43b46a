package performer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
)

// headerInstance is the request header with the id of the executor incarnation that a call is
// addressed to.
const headerInstance = "X-Target-Instance"

// maxHoldWait is the longest time that a hold call waits for a run to end.
const maxHoldWait = 2 * time.Second

// callBody is the JSON body of every call; each call uses some of the fields.
type callBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	TaskSpec   string `json:"task_spec"`
	Deadline   int64  `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"saved"`
	Percent    int    `json:"percent"`
	LastSeen   int    `json:"last_seen"`
	Wait       int64  `json:"wait_ms"`
}

// reply is the JSON body of the response to every call.
type reply struct {
	Clock       int64   `json:"clock_ms"`
	Incarnation int64   `json:"born"`
	Reason      string  `json:"reason,omitempty"`
	Running     [][]any `json:"running,omitempty"`
	Ended       [][]any `json:"ended,omitempty"`
}

// decode reads the body of a call. It writes the error response and returns false if the body is
// malformed or the call is addressed to another incarnation. While the executor is down it drops
// the connection. p.mu must not be held.
func (p *Performer) decode(w http.ResponseWriter, r *http.Request) (callBody, bool) {
	var c callBody
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &c)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.down:
		panic(http.ErrAbortHandler)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return c, false
	case r.Header.Get(headerInstance) != p.id:
		p.writeReply(w, http.StatusMisdirectedRequest, reply{})
		return c, false
	}
	return c, true
}

// writeReply writes the response to a call, with the executor's clock and incarnation; p.mu is held.
func (p *Performer) writeReply(w http.ResponseWriter, status int, body reply) {
	body.Clock, body.Incarnation = p.uptime().Milliseconds(), p.startedAt.UnixMilli()
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// commandHandler returns the HTTP handler of a command. A late command gets no response; see
// Faults.LateFraction.
func (p *Performer) commandHandler(execute func(callBody) (int, reply)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, ok := p.decode(w, r)
		if !ok {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.advance()
		if p.delayCall(func() { execute(c) }) {
			panic(http.ErrAbortHandler)
		}
		status, result := execute(c)
		p.writeReply(w, status, result)
	}
}

// lateCall is a call without a response, which the incarnation that is up at a time executes if
// it has the id that the call is addressed to.
type lateCall struct {
	at      time.Time
	id      string
	execute func()
}

// delayCall decides whether a call is late and then keeps it for later; p.mu is held.
func (p *Performer) delayCall(execute func()) bool {
	if p.random.Float64() >= p.faults.LateFraction {
		return false
	}
	p.lateCalls = append(p.lateCalls, lateCall{at: p.clock.Now().Add(p.faults.LateDelay), id: p.id, execute: execute})
	return true
}

// executeLateCalls executes the late calls that are due; p.mu is held.
func (p *Performer) executeLateCalls(now time.Time) {
	p.lateCalls = slices.DeleteFunc(p.lateCalls, func(late lateCall) bool {
		due := !now.Before(late.at)
		if due && !p.down && p.id == late.id {
			late.execute()
		}
		return due
	})
}

// fenced reports whether the fencing token of a call is lower than an earlier one; otherwise it
// records the token. p.mu is held.
func (p *Performer) fenced(token int64) bool {
	if token < p.token {
		return true
	}
	p.token = token
	return false
}

// extendLease extends the lease that all runs share to deadline, in milliseconds of the executor's
// clock, but at most to Config.MaxLease from now. It never shortens the lease. p.mu is held.
func (p *Performer) extendLease(deadline int64) {
	until := min(time.Duration(deadline)*time.Millisecond, p.uptime()+p.config.MaxLease)
	p.leaseDeadline = max(p.leaseDeadline, until)
}

func (p *Performer) start(c callBody) (int, reply) {
	var spec taskSpec
	if json.Unmarshal([]byte(c.TaskSpec), &spec) != nil || c.Task == "" || c.Run < 1 {
		return http.StatusBadRequest, reply{}
	}
	remaining, err := spec.resume(c.Checkpoint)
	if err != nil {
		return http.StatusBadRequest, reply{}
	}
	k := runKey{task: c.Task, run: c.Run}
	switch {
	case p.fenced(c.Token):
		return http.StatusConflict, reply{Reason: "fence"}
	case p.faults.RejectStarts:
		return http.StatusServiceUnavailable, reply{}
	case time.Duration(c.Deadline)*time.Millisecond <= p.uptime():
		return http.StatusConflict, reply{Reason: "late"}
	case p.runs[k] != nil:
		p.extendLease(c.Deadline)
		return http.StatusOK, reply{}
	case c.Run <= p.rejectUpTo[c.Task]:
		p.extendLease(c.Deadline)
		return http.StatusConflict, reply{Reason: "old"}
	}
	p.extendLease(c.Deadline)
	r := &run{runKey: k, spec: spec, specText: c.TaskSpec, remaining: remaining, speed: 1, advancedAt: p.clock.Now(), resumedFrom: c.Checkpoint}
	r.fails = c.Run <= spec.Fails || p.random.Float64() < p.faults.FailFraction
	p.runs[k] = r
	p.report(r, "")
	return http.StatusOK, reply{}
}

func (p *Performer) stop(c callBody) (int, reply) {
	if p.fenced(c.Token) {
		return http.StatusConflict, reply{Reason: "fence"}
	}
	p.rejectUpTo[c.Task] = max(p.rejectUpTo[c.Task], c.Run)
	for k, r := range p.runs {
		if k.task == c.Task && k.run <= c.Run && r.stopAt.IsZero() {
			r.stopAt = p.clock.Now().Add(p.config.StopTime)
		}
	}
	return http.StatusOK, reply{}
}

func (p *Performer) setSpeed(c callBody) (int, reply) {
	if p.fenced(c.Token) {
		return http.StatusConflict, reply{Reason: "fence"}
	}
	if r := p.runs[runKey{task: c.Task, run: c.Run}]; r != nil {
		r.speed = float64(c.Percent) / 100
	}
	return http.StatusOK, reply{}
}

// hold serves the call with which the agent extends the lease, acknowledges ended runs and lists the
// runs. Without ended runs to list, it first waits for one, for at most the time in the call and
// maxHoldWait. p.mu must not be held.
func (p *Performer) hold(w http.ResponseWriter, r *http.Request) {
	c, ok := p.decode(w, r)
	if !ok {
		return
	}
	deadline := p.clock.After(min(maxHoldWait, time.Duration(c.Wait)*time.Millisecond))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	if p.delayCall(func() { p.renew(c) }) {
		panic(http.ErrAbortHandler)
	}
	if !p.renew(c) {
		p.writeReply(w, http.StatusConflict, reply{Reason: "fence"})
		return
	}
	incarnation := p.startedAt
	for len(p.endRecords) == 0 && c.Wait > 0 && p.startedAt.Equal(incarnation) && !p.down {
		if !p.awaitChange(r.Context(), deadline) {
			break
		}
		p.advance()
	}
	if p.down || !p.startedAt.Equal(incarnation) {
		panic(http.ErrAbortHandler)
	}
	p.writeReply(w, http.StatusOK, p.listRuns())
}

// renew extends the lease and acknowledges ended runs as a hold asks, and returns false if the hold is
// rejected for its fencing token; p.mu is held.
func (p *Performer) renew(c callBody) bool {
	if p.fenced(c.Token) {
		return false
	}
	if c.Deadline > 0 {
		p.extendLease(c.Deadline)
	}
	p.acknowledge(c.LastSeen)
	return true
}

// awaitChange waits until p.changed is closed and returns true, or returns false at the deadline
// or when ctx is done. The caller holds p.mu; it is released during the wait.
func (p *Performer) awaitChange(ctx context.Context, deadline <-chan time.Time) bool {
	changed := p.changed
	p.mu.Unlock()
	defer p.mu.Lock()
	select {
	case <-changed:
		return true
	case <-deadline:
	case <-ctx.Done():
	}
	return false
}

// acknowledge drops the end records up to number seen, which the agent has processed; p.mu is held.
func (p *Performer) acknowledge(seen int) {
	for len(p.endRecords) > 0 && p.endRecords[0].number <= seen {
		e := p.endRecords[0]
		p.endRecords = p.endRecords[1:]
		if e.lapses == p.lapses {
			p.observe(Event{At: p.clock.Now(), Executor: p.id, StartedMillis: p.startedAt.UnixMilli(), Task: e.task, Run: e.run, Outcome: e.outcome, Acknowledged: true})
		}
	}
}

// listRuns returns the running runs and the end records that are not yet acknowledged; p.mu is held.
func (p *Performer) listRuns() reply {
	list := reply{Running: [][]any{}, Ended: [][]any{}}
	for _, r := range p.runs {
		list.Running = append(list.Running, []any{r.task, r.run, p.checkpoint(r), r.percent(), p.tailLatency(r)})
	}
	for _, e := range p.endRecords {
		list.Ended = append(list.Ended, []any{e.number, e.task, e.run, e.outcome, e.checkpoint})
	}
	return list
}

// heartbeat is the JSON body of an executor's heartbeat.
type heartbeat struct {
	Service     string           `json:"service"`
	Address     string           `json:"address"`
	Zone        string           `json:"zone"`
	State       string           `json:"state"`
	Capacity    map[string]int64 `json:"capacity"`
	Labels      []string         `json:"labels"`
	Clock       int64            `json:"clock_ms"`
	Sequence    int              `json:"seq_num"`
	Incarnation int64            `json:"born"`
}

// Announce sends heartbeats for the executor at address to the agent at control (host:port) every
// Config.HeartbeatEvery, until ctx is done. It sends none while the executor is down or
// Faults.NoHeartbeats is set.
func (p *Performer) Announce(ctx context.Context, control, address string) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		p.mu.Lock()
		p.sequence++
		silent := p.down || p.faults.NoHeartbeats
		h := heartbeat{
			Service: p.config.Service, Address: address, Zone: p.config.Zone, State: "ready", Labels: p.config.Labels,
			Capacity: map[string]int64{"cpu": p.config.CPU, "mem_mb": p.config.MemoryMB, "gpu": 0},
			Clock:    p.uptime().Milliseconds(), Sequence: p.sequence, Incarnation: p.startedAt.UnixMilli(),
		}
		url := "http://" + control + "/apricotwinch/instances/" + p.id
		p.mu.Unlock()
		if !silent {
			sendHeartbeat(ctx, client, url, h)
		}
		sleep(ctx, p.clock, p.config.HeartbeatEvery)
	}
}

// sendHeartbeat sends one heartbeat. It ignores errors, because the next heartbeat follows soon.
func sendHeartbeat(ctx context.Context, client *http.Client, url string, h heartbeat) {
	data, err := json.Marshal(h)
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return
	}
	if response, err := client.Do(request); err == nil {
		response.Body.Close()
	}
}

func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-clock.After(d):
	}
}
