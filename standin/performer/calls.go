package performer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
)

// headerInstance names the life that a call is meant for.
const headerInstance = "X-Target-Instance"

// maxWait bounds how long a hold waits for an end.
const maxWait = 2 * time.Second

// call is the body of every call; each uses some of the fields.
type call struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	TaskSpec string `json:"task_spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Saved    string `json:"saved"`
	Percent  int    `json:"percent"`
	LastSeen int    `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

// told is the answer to every call.
type told struct {
	Clock   int64   `json:"clock_ms"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

// decode reads a call that is meant for this life; p.mu is not held.
func (p *Performer) decode(w http.ResponseWriter, r *http.Request) (call, bool) {
	var c call
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
		p.answer(w, http.StatusMisdirectedRequest, told{})
		return c, false
	}
	return c, true
}

// answer writes an answer; p.mu is held.
func (p *Performer) answer(w http.ResponseWriter, status int, t told) {
	t.Clock, t.Born = p.uptime().Milliseconds(), p.born.UnixMilli()
	data, err := json.Marshal(t)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// order returns the handler of an order, which may be carried out late.
func (p *Performer) order(carryOut func(call) (int, told)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, ok := p.decode(w, r)
		if !ok {
			return
		}
		p.mu.Lock()
		late := p.random.Float64() < p.faults.Late
		by, life := p.faults.LateBy, p.born
		p.mu.Unlock()
		if late {
			go func() {
				p.clock.Sleep(by)
				p.mu.Lock()
				defer p.mu.Unlock()
				if p.born.Equal(life) && !p.down {
					p.advance()
					carryOut(c)
				}
			}()
			panic(http.ErrAbortHandler)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.advance()
		status, result := carryOut(c)
		p.answer(w, status, result)
	}
}

// fenced takes a token and reports whether it is too low; p.mu is held.
func (p *Performer) fenced(token int64) bool {
	if token < p.token {
		return true
	}
	p.token = token
	return false
}

// lease extends the lease of everything; it never shortens; p.mu is held.
func (p *Performer) lease(deadline int64) {
	until := min(time.Duration(deadline)*time.Millisecond, p.uptime()+p.config.HoldMax)
	p.deadline = max(p.deadline, until)
}

func (p *Performer) start(c call) (int, told) {
	var spec work
	if json.Unmarshal([]byte(c.TaskSpec), &spec) != nil || c.Task == "" || c.Run < 1 {
		return http.StatusBadRequest, told{}
	}
	left, err := spec.resume(c.Saved)
	if err != nil {
		return http.StatusBadRequest, told{}
	}
	k := key{task: c.Task, run: c.Run}
	switch {
	case p.fenced(c.Token):
		return http.StatusConflict, told{Reason: "fence"}
	case time.Duration(c.Deadline)*time.Millisecond <= p.uptime():
		return http.StatusConflict, told{Reason: "late"}
	case p.runs[k] != nil:
		p.lease(c.Deadline)
		return http.StatusOK, told{}
	case c.Run <= p.barred[c.Task]:
		p.lease(c.Deadline)
		return http.StatusConflict, told{Reason: "old"}
	}
	p.lease(c.Deadline)
	r := &run{key: k, spec: spec, text: c.TaskSpec, left: left, pace: 1, advanced: p.clock.Now(), resumed: c.Saved}
	r.fails = c.Run <= spec.Fails || p.random.Float64() < p.faults.Fails
	p.runs[k] = r
	p.tell(r, "")
	return http.StatusOK, told{}
}

func (p *Performer) stop(c call) (int, told) {
	if p.fenced(c.Token) {
		return http.StatusConflict, told{Reason: "fence"}
	}
	p.barred[c.Task] = max(p.barred[c.Task], c.Run)
	for k, r := range p.runs {
		if k.task == c.Task && k.run <= c.Run && r.stopAt.IsZero() {
			r.stopAt = p.clock.Now().Add(p.config.StopTakes)
		}
	}
	return http.StatusOK, told{}
}

func (p *Performer) setPace(c call) (int, told) {
	if p.fenced(c.Token) {
		return http.StatusConflict, told{Reason: "fence"}
	}
	if r := p.runs[key{task: c.Task, run: c.Run}]; r != nil {
		r.pace = float64(c.Percent) / 100
	}
	return http.StatusOK, told{}
}

func (p *Performer) hold(w http.ResponseWriter, r *http.Request) {
	c, ok := p.decode(w, r)
	if !ok {
		return
	}
	deadline := p.clock.After(min(maxWait, time.Duration(c.Wait)*time.Millisecond))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	if p.fenced(c.Token) {
		p.answer(w, http.StatusConflict, told{Reason: "fence"})
		return
	}
	if c.Deadline > 0 {
		p.lease(c.Deadline)
	}
	p.note(c.LastSeen)
	life := p.born
	for len(p.ends) == 0 && c.Wait > 0 && p.born.Equal(life) && !p.down {
		if !p.await(r.Context(), deadline) {
			break
		}
		p.advance()
	}
	if p.down || !p.born.Equal(life) {
		panic(http.ErrAbortHandler)
	}
	p.answer(w, http.StatusOK, p.lists())
}

// await waits for a change and reports whether there was one; p.mu is held, but not
// meanwhile.
func (p *Performer) await(ctx context.Context, deadline <-chan time.Time) bool {
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

// note forgets the ends that were taken note of; p.mu is held.
func (p *Performer) note(seen int) {
	for len(p.ends) > 0 && p.ends[0].number <= seen {
		e := p.ends[0]
		p.ends = p.ends[1:]
		p.witness(Event{At: p.clock.Now(), Executor: p.id, Born: p.born.UnixMilli(), Task: e.task, Run: e.run, How: e.how, Noted: true})
	}
}

// lists returns what runs and what ended; p.mu is held.
func (p *Performer) lists() told {
	t := told{Running: [][]any{}, Ended: [][]any{}}
	for _, r := range p.runs {
		t.Running = append(t.Running, []any{r.task, r.run, p.saved(r), r.percent(), 0})
	}
	for _, e := range p.ends {
		t.Ended = append(t.Ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return t
}

// heartbeat is what an executor tells of itself.
type heartbeat struct {
	Service  string           `json:"service"`
	Address  string           `json:"address"`
	Zone     string           `json:"zone"`
	State    string           `json:"state"`
	Capacity map[string]int64 `json:"capacity"`
	Labels   []string         `json:"labels"`
	Clock    int64            `json:"clock_ms"`
	Sequence int              `json:"seq_num"`
	Born     int64            `json:"born"`
}

// Announce tells the agent at control, host:port, of the executor at address until ctx
// is done.
func (p *Performer) Announce(ctx context.Context, control, address string) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		p.mu.Lock()
		p.sequence++
		quiet := p.down || p.faults.Silent
		h := heartbeat{
			Service: p.config.Service, Address: address, Zone: p.config.Zone, State: "ready", Labels: p.config.Labels,
			Capacity: map[string]int64{"cpu": p.config.CPU, "mem_mb": p.config.MemoryMB, "gpu": 0},
			Clock:    p.uptime().Milliseconds(), Sequence: p.sequence, Born: p.born.UnixMilli(),
		}
		url := "http://" + control + "/apricotwinch/instances/" + p.id
		p.mu.Unlock()
		if !quiet {
			put(ctx, client, url, h)
		}
		sleep(ctx, p.clock, p.config.HeartbeatEvery)
	}
}

// put sends one heartbeat; one that is lost is followed by the next.
func put(ctx context.Context, client *http.Client, url string, h heartbeat) {
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
