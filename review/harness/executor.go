package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Properties of an executor, as in a small deployment.
const (
	capacityCPU      = 16000
	capacityMB       = 64000
	heartbeatPeriod  = 1100 * time.Millisecond
	stopTime         = 300 * time.Millisecond
	maxLease         = 10 * time.Second
	maxHoldWait      = 2 * time.Second
	maxListedEnds    = 500
	advancePeriod    = 5 * time.Millisecond
	heartbeatTimeout = time.Second
)

// startFault is what happens to a start call instead of its usual handling.
type startFault struct {
	// late is the delay after which a call that gets no response is carried out; 0 for none.
	late time.Duration
	// unhealthy makes the executor refuse the call with status 503 and do nothing.
	unhealthy bool
}

// executor stands in for an executor of the platform. It follows the section "Running tasks".
type executor struct {
	name    string
	zone    string
	record  *record
	address string
	server  *http.Server

	mu sync.Mutex
	// fault returns the fault of a start; nil for none ever.
	fault    func() startFault
	labels   []string
	born     time.Time
	sequence int
	// dark is open while the machine does not respond; nil otherwise.
	dark     chan struct{}
	token    int64
	deadline time.Duration
	runs     map[runKey]*taskRun
	// rejected holds the highest run of a task that was stopped or has ended here.
	rejected map[string]int
	ended    []endedRun
	lastEnd  int
	changed  chan struct{}
}

// taskRun is a run in progress.
type taskRun struct {
	startedAt time.Time
	endsAt    time.Time
	// stopAt is when the run ends as it was stopped; zero if it was not.
	stopAt time.Time
	// how is how the run ends by itself.
	how string
}

// endedRun is a row of the list of ends.
type endedRun struct {
	runKey
	number int
	how    string
}

// taskSpec is the content of task_spec: how long the task works and whether it fails.
type taskSpec struct {
	Millis   int    `json:"ms"`
	Fails    bool   `json:"fails,omitempty"`
	Requires string `json:"requires,omitempty"`
}

func (s taskSpec) encode() string {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// newExecutor starts an executor that serves at a free port of ip.
func newExecutor(r *record, name, zone, ip string, labels []string) (*executor, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	x := &executor{name: name, zone: zone, record: r, labels: labels, address: listener.Addr().String(), changed: make(chan struct{})}
	x.reset()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /apricotwinch/run-start", x.serveStart)
	mux.HandleFunc("POST /apricotwinch/run-stop", x.serveCommand(x.stop))
	mux.HandleFunc("POST /apricotwinch/pace", x.serveCommand(func(call) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /apricotwinch/hold", x.serveHold)
	x.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = x.server.Serve(listener) }()
	return x, nil
}

// reset begins a new incarnation that knows nothing of before. x.mu is held, or x is not shared yet.
func (x *executor) reset() {
	x.born = time.Now()
	x.sequence, x.token, x.deadline, x.lastEnd = 0, 0, 0, 0
	x.runs, x.rejected, x.ended = map[runKey]*taskRun{}, map[string]int{}, nil
}

// setFault sets the function that returns the fault of a start.
func (x *executor) setFault(fault func() startFault) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.fault = fault
}

// run sends heartbeats to control and advances the runs until ctx is done.
func (x *executor) run(ctx context.Context, control string) {
	go func() {
		for ctx.Err() == nil {
			x.mu.Lock()
			x.advance(time.Now())
			x.mu.Unlock()
			time.Sleep(advancePeriod)
		}
	}()
	client := &http.Client{Timeout: heartbeatTimeout}
	for ctx.Err() == nil {
		x.mu.Lock()
		dark := x.dark
		x.mu.Unlock()
		if dark != nil {
			<-dark // The new incarnation announces itself at once.
		}
		x.sendHeartbeat(ctx, client, control)
		x.mu.Lock()
		dark = x.dark
		x.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatPeriod):
		case <-dark:
		}
	}
}

func (x *executor) sendHeartbeat(ctx context.Context, client *http.Client, control string) {
	x.mu.Lock()
	x.sequence++
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": x.address, "zone": x.zone, "version": "v1", "slots": 8, "state": "ready", "cold_ms": 0,
		"capacity": map[string]int{"cpu": capacityCPU, "mem_mb": capacityMB, "gpu": 0}, "labels": x.labels,
		"clock_ms": time.Since(x.born).Milliseconds(), "seq_num": x.sequence, "born": x.born.UnixMilli(),
	})
	x.mu.Unlock()
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control+"/apricotwinch/instances/"+x.name, bytes.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return
	}
	response.Body.Close()
	x.record.printf("heartbeat executor=%s born=%d labels=%v status=%d", x.name, x.born.UnixMilli(), x.labels, response.StatusCode)
}

// crash loses all runs and lets the machine be silent for d. Then a new incarnation starts under
// the same id at the same address, with other labels.
func (x *executor) crash(d time.Duration, labels []string) {
	x.mu.Lock()
	x.dark = make(chan struct{})
	x.record.add(event{at: time.Now(), kind: eventCrash, executor: x.name, born: x.born.UnixMilli()})
	x.runs = map[runKey]*taskRun{}
	x.mu.Unlock()
	time.Sleep(d)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reset()
	x.labels = labels
	close(x.dark)
	x.dark = nil
	x.record.printf("executor=%s is back: born=%d labels=%v", x.name, x.born.UnixMilli(), labels)
}

// advance ends the runs that are due; x.mu is held.
func (x *executor) advance(now time.Time) {
	if x.dark != nil {
		return
	}
	lapsed := time.Since(x.born) > x.deadline
	for key, t := range x.runs {
		switch {
		case lapsed:
			x.end(now, key, "lapsed")
		case !t.stopAt.IsZero() && !now.Before(t.stopAt):
			x.end(now, key, "stopped")
		case !now.Before(t.endsAt):
			x.end(now, key, t.how)
		}
	}
}

// end moves a run to the list of ends; x.mu is held.
func (x *executor) end(now time.Time, key runKey, how string) {
	delete(x.runs, key)
	x.rejected[key.task] = max(x.rejected[key.task], key.run)
	x.lastEnd++
	x.ended = append(x.ended, endedRun{runKey: key, number: x.lastEnd, how: how})
	x.record.add(event{at: now, kind: eventEnd, executor: x.name, born: x.born.UnixMilli(), task: key.task, run: key.run, how: how})
	close(x.changed)
	x.changed = make(chan struct{})
}

// call is the body of a call; each call uses some of the fields.
type call struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"task_spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int    `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// response is the body of a response.
type response struct {
	Clock  int64  `json:"clock_ms"`
	Born   int64  `json:"born"`
	Reason string `json:"reason,omitempty"`
	// lists is nil but in the response to a hold.
	*lists
}

// lists holds a row for each run in progress and for each end that was not taken note of.
type lists struct {
	Running [][]any `json:"running"`
	Ended   [][]any `json:"ended"`
}

// decode reads a call. It returns false, after the response, if the call can't be carried out, and
// breaks the connection if the machine was silent meanwhile.
func (x *executor) decode(w http.ResponseWriter, r *http.Request) (call, bool) {
	var c call
	err := json.NewDecoder(r.Body).Decode(&c)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abortIfDark()
	switch {
	case err != nil:
		x.reply(w, http.StatusBadRequest, response{})
		return c, false
	case r.Header.Get("X-Target-Instance") != x.name:
		x.reply(w, http.StatusMisdirectedRequest, response{})
		return c, false
	}
	return c, true
}

// abortIfDark waits while the machine is silent and then breaks the connection; x.mu is held.
func (x *executor) abortIfDark() {
	dark := x.dark
	if dark == nil {
		return
	}
	x.mu.Unlock()
	<-dark
	x.mu.Lock()
	panic(http.ErrAbortHandler)
}

// reply writes a response; x.mu is held.
func (x *executor) reply(w http.ResponseWriter, status int, body response) {
	body.Clock, body.Born = time.Since(x.born).Milliseconds(), x.born.UnixMilli()
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// fenced reports whether a call has a lower token than an earlier one, and keeps the highest;
// x.mu is held.
func (x *executor) fenced(token int64) bool {
	if token < x.token {
		return true
	}
	x.token = token
	return false
}

// extend extends the lease to a time on the executor's clock; x.mu is held.
func (x *executor) extend(deadline int64) {
	until := min(time.Duration(deadline)*time.Millisecond, time.Since(x.born)+maxLease)
	x.deadline = max(x.deadline, until)
}

// serveCommand returns the handler of a command.
func (x *executor) serveCommand(execute func(call) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, ok := x.decode(w, r)
		if !ok {
			return
		}
		x.mu.Lock()
		defer x.mu.Unlock()
		status, reason := execute(c)
		x.reply(w, status, response{Reason: reason})
	}
}

// serveStart serves a start, with the faults of the scenario.
func (x *executor) serveStart(w http.ResponseWriter, r *http.Request) {
	c, ok := x.decode(w, r)
	if !ok {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	var fault startFault
	if x.fault != nil {
		fault = x.fault()
	}
	switch {
	case fault.unhealthy:
		x.record.printf("start refused with 503 executor=%s task=%s run=%d", x.name, c.Task, c.Run)
		x.reply(w, http.StatusServiceUnavailable, response{})
	case fault.late > 0:
		x.record.printf("start gets no response executor=%s task=%s run=%d", x.name, c.Task, c.Run)
		born := x.born
		time.AfterFunc(fault.late, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.born.Equal(born) {
				status, reason := x.start(c)
				x.record.printf("late start carried out executor=%s task=%s run=%d status=%d reason=%s", x.name, c.Task, c.Run, status, reason)
			}
		})
		panic(http.ErrAbortHandler)
	default:
		status, reason := x.start(c)
		if status != http.StatusOK {
			x.record.printf("start refused executor=%s task=%s run=%d status=%d reason=%s", x.name, c.Task, c.Run, status, reason)
		}
		x.reply(w, status, response{Reason: reason})
	}
}

// start starts a run; x.mu is held.
func (x *executor) start(c call) (int, string) {
	var spec taskSpec
	if c.Task == "" || c.Run < 1 || json.Unmarshal([]byte(c.Spec), &spec) != nil {
		return http.StatusBadRequest, ""
	}
	now, key := time.Now(), runKey{c.Task, c.Run}
	x.advance(now)
	switch {
	case x.fenced(c.Token):
		return http.StatusConflict, "fence"
	case x.runs[key] != nil:
		x.extend(c.Deadline)
		return http.StatusOK, ""
	case c.Run <= x.rejected[c.Task]:
		x.extend(c.Deadline)
		return http.StatusConflict, "old"
	case time.Duration(c.Deadline)*time.Millisecond <= time.Since(x.born):
		return http.StatusConflict, "late"
	}
	x.extend(c.Deadline)
	t := &taskRun{startedAt: now, endsAt: now.Add(time.Duration(spec.Millis) * time.Millisecond), how: "done"}
	if spec.Fails {
		t.how = "failed"
	}
	x.runs[key] = t
	x.record.add(event{at: now, kind: eventStart, executor: x.name, born: x.born.UnixMilli(), task: c.Task, run: c.Run, labels: x.labels, requires: spec.Requires})
	return http.StatusOK, ""
}

// stop stops a run; x.mu is held.
func (x *executor) stop(c call) (int, string) {
	if x.fenced(c.Token) {
		return http.StatusConflict, "fence"
	}
	x.rejected[c.Task] = max(x.rejected[c.Task], c.Run)
	if t := x.runs[runKey{c.Task, c.Run}]; t != nil && t.stopAt.IsZero() {
		t.stopAt = time.Now().Add(stopTime)
	}
	return http.StatusOK, ""
}

// serveHold serves a hold: it extends the lease, forgets ends that were taken note of, and returns
// the lists, after a wait for an end if there is none.
func (x *executor) serveHold(w http.ResponseWriter, r *http.Request) {
	c, ok := x.decode(w, r)
	if !ok {
		return
	}
	timeout := time.After(min(maxHoldWait, time.Duration(c.Wait)*time.Millisecond))
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.fenced(c.Token) {
		x.reply(w, http.StatusConflict, response{Reason: "fence"})
		return
	}
	if c.Deadline > 0 {
		x.extend(c.Deadline)
	}
	x.forget(c.LastSeen)
	if len(x.ended) == 0 && c.Wait > 0 {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
		case <-r.Context().Done():
		}
		x.mu.Lock()
		x.abortIfDark()
	}
	x.reply(w, http.StatusOK, x.list())
}

// forget drops the ends up to a number; x.mu is held.
func (x *executor) forget(lastSeen int) {
	x.ended = slices.DeleteFunc(x.ended, func(e endedRun) bool {
		if e.number > lastSeen {
			return false
		}
		x.record.add(event{at: time.Now(), kind: eventSeen, executor: x.name, born: x.born.UnixMilli(), task: e.task, run: e.run, how: e.how})
		return true
	})
}

// list returns both lists; x.mu is held.
func (x *executor) list() response {
	result := &lists{Running: [][]any{}, Ended: [][]any{}}
	for key, t := range x.runs {
		percent := min(99, int(100*time.Since(t.startedAt)/t.endsAt.Sub(t.startedAt)))
		result.Running = append(result.Running, []any{key.task, key.run, "", percent, 0})
	}
	for _, e := range x.ended[:min(len(x.ended), maxListedEnds)] {
		result.Ended = append(result.Ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	return response{lists: result}
}
