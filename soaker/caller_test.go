package soaker_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"apricotwinch/standin/performer"
)

// Limits of the callers.
const (
	callTimeout = 3 * time.Second
	maxTries    = 6
	pollPeriod  = 400 * time.Millisecond
	// failsEveryRun is the number of failing runs of a task that never succeeds. It must be
	// above every run number, and run numbers skip values when a new owner takes over: 1000
	// was too small.
	failsEveryRun = 1 << 30
	// maxLongRunning is the maximum number of long-running workloads at a time. Each needs
	// 1.4 processors, and all must fit beside other work while a data centre is out of
	// service.
	maxLongRunning = 8
	// slowTask is the run time of a slow task at full speed. It is longer than an agent and an owner wait
	// for the end of the leases behind a cut.
	slowTask = 6 * time.Second
)

// workload is a submitted workload and what its caller knows of it.
type workload struct {
	id    string
	queue string
	spec  string
	steps []step
	// alwaysFails is whether every run of its tasks fails, longRunning whether its tasks run
	// until the caller cancels the workload.
	alwaysFails, longRunning bool

	mu           sync.Mutex
	accepted     time.Time
	refused      bool // Whether every try to submit it was rejected.
	cancelSent   time.Time
	canceled     time.Time
	state        string
	stateAt      time.Time
	stateHistory []string
}

// step is one step of a workload in its JSON form.
type step struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu"` // In thousandths of a processor.
	Mem         int64 `json:"mem_mb"`
	Estimate    int   `json:"estimate_ms"`
	After       []int `json:"after,omitempty"`
	Checkpoints bool  `json:"checkpoints,omitempty"`
	BestEffort  bool  `json:"fills,omitempty"`
	LongRunning bool  `json:"perpetual,omitempty"`
	// Image names what the tasks run.
	Image string `json:"image,omitempty"`
	// TargetMillis is the tail latency that serving tasks must keep.
	TargetMillis int `json:"target_ms,omitempty"`
}

// kinds set up the kinds of workloads: two small urgent ones, a best-effort one, one whose
// tasks fail in their first run, one whose tasks always fail, and a long-running one.
var kinds = []func(w *workload, random *rand.Rand){
	func(w *workload, _ *rand.Rand) { w.setSteps("/urgent/", 300*time.Millisecond, 0, 3, 500) },
	func(w *workload, _ *rand.Rand) { w.setSteps("/urgent/", 150*time.Millisecond, 0, 2, 250) },
	func(w *workload, random *rand.Rand) {
		w.setSteps("/batch/", 900*time.Millisecond, 0, 2+random.IntN(6), 1500)
		for i := range w.steps {
			w.steps[i].BestEffort, w.steps[i].Checkpoints = true, true
		}
	},
	func(w *workload, _ *rand.Rand) { w.setSteps("/batch/", 500*time.Millisecond, 1, 2, 500) },
	func(w *workload, _ *rand.Rand) {
		w.alwaysFails = true
		w.setSteps("/batch/", 200*time.Millisecond, failsEveryRun, 2, 500)
	},
	func(w *workload, _ *rand.Rand) {
		w.longRunning = true
		w.setSteps("/urgent/", time.Hour, 0, 2, 700)
		w.steps = w.steps[:1]
		w.steps[0].LongRunning = true
	},
}

// slowKinds set up the kinds of workloads with slow tasks: ordinary, best-effort and long-running ones.
var slowKinds = []func(w *workload){
	func(w *workload) { w.setSteps("/batch/", slowTask, 0, 4, 500) },
	func(w *workload) { w.setSteps("/urgent/", slowTask, 0, 3, 300) },
	func(w *workload) {
		w.setSteps("/batch/", slowTask, 0, 4, 800)
		w.steps[0].BestEffort = true
	},
	func(w *workload) {
		w.longRunning = true
		w.setSteps("/urgent/", time.Hour, 0, 3, 300)
		w.steps[0].LongRunning = true
	},
}

// maxSlowLongRunning is the maximum number of long-running workloads of slowKinds in a test.
const maxSlowLongRunning = 3

// submitSlow submits the workloads with slow tasks in turn, in the background, until stop is closed.
func (c *callers) submitSlow(seed uint64, period time.Duration, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 3))
	c.background.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(randomDuration(random, 0, 2*period)):
			}
			kind := i % len(slowKinds)
			if i >= maxSlowLongRunning*len(slowKinds) {
				kind = i % (len(slowKinds) - 1)
			}
			w := &workload{id: fmt.Sprintf("%016x", random.Uint64())}
			slowKinds[kind](w)
			w.steps = w.steps[:1]
			c.mu.Lock()
			c.workloads = append(c.workloads, w)
			c.mu.Unlock()
			c.background.Go(func() { c.submit(w) })
		}
	})
}

// longRunningKind is the index of the long-running workloads in kinds.
const longRunningKind = 5

// countLongRunning returns the number of long-running workloads without a cancellation. The
// caller must hold c.mu.
func (c *callers) countLongRunning() int {
	n := 0
	for _, w := range c.workloads {
		w.mu.Lock()
		if w.longRunning && w.cancelSent.IsZero() {
			n++
		}
		w.mu.Unlock()
	}
	return n
}

// setSteps sets up a workload with two steps, the second after the first. Each task of them
// runs for runTime and fails in its first runs, as many as failures.
func (w *workload) setSteps(queue string, runTime time.Duration, failures, count int, cpu int64) {
	w.queue = queue
	w.spec = performer.EncodeTaskSpec(w.id, runTime, w.longRunning, failures)
	first := step{Count: count, CPU: cpu, Mem: 200, Estimate: int(runTime.Milliseconds())}
	second := first
	second.After = []int{0}
	w.steps = []step{first, second}
}

// callers submits workloads and polls their states.
type callers struct {
	fleet  *fleet
	random *rand.Rand
	client *http.Client

	mu         sync.Mutex
	workloads  []*workload
	background sync.WaitGroup
}

func newCallers(f *fleet, random *rand.Rand) *callers {
	return &callers{fleet: f, random: random, client: &http.Client{Timeout: callTimeout}}
}

// randomInt returns a random number below n.
func (c *callers) randomInt(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// submitRandom submits a random workload in the background and may cancel it later.
func (c *callers) submitRandom() *workload {
	c.mu.Lock()
	w := &workload{id: fmt.Sprintf("%016x", c.random.Uint64())}
	kind := c.random.IntN(len(kinds))
	if kind == longRunningKind && c.countLongRunning() >= maxLongRunning {
		kind = 0
	}
	kinds[kind](w, c.random)
	cancels := w.longRunning && c.random.IntN(2) == 0 || c.random.IntN(10) == 0
	after := time.Duration(c.random.IntN(4000)) * time.Millisecond
	c.workloads = append(c.workloads, w)
	c.mu.Unlock()
	c.submitInBackground(w, cancels, after)
	return w
}

// submitInBackground submits a workload of c.workloads in the background and, if cancels is set, cancels it some
// time after it was accepted.
func (c *callers) submitInBackground(w *workload, cancels bool, after time.Duration) {
	c.background.Go(func() {
		if c.submit(w) && cancels {
			time.Sleep(after)
			c.cancel(w)
		}
	})
}

// call sends one request to a random entry. It returns status 0 when no complete response
// arrived.
func (c *callers) call(method, path string, body []byte) (int, []byte) {
	entry := c.fleet.entries[c.randomInt(len(c.fleet.entries))]
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.front.Address()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = hostname
	request.Header.Set("X-Request-Deadline", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// submit submits a workload, with retries, and reports whether it was accepted.
func (c *callers) submit(w *workload) bool {
	body, err := json.Marshal(map[string]any{"task_spec": w.spec, "steps": w.steps})
	if err != nil {
		return false
	}
	tries, rejected := 0, 0
	for try := range maxTries {
		tries++
		status, _ := c.call(http.MethodPost, w.queue+w.id, body)
		switch status {
		case http.StatusOK:
			w.mu.Lock()
			w.accepted = time.Now()
			w.mu.Unlock()
			return true
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			rejected++
		}
		if rejected == try+1 && try >= 2 {
			break
		}
		time.Sleep(time.Duration(100+c.randomInt(300)) * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refused = rejected == tries
	return false
}

func (c *callers) cancel(w *workload) {
	w.mu.Lock()
	w.cancelSent = time.Now()
	w.mu.Unlock()
	for range maxTries {
		status, _ := c.call(http.MethodDelete, w.queue+w.id, nil)
		if status == http.StatusOK || status == http.StatusGone {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.canceled = time.Now()
			return
		}
		time.Sleep(pollPeriod)
	}
}

// poll requests the state of a workload and records it when it changed.
func (c *callers) poll(w *workload) {
	status, body := c.call(http.MethodGet, w.queue+w.id, nil)
	w.mu.Lock()
	defer w.mu.Unlock()
	var answer struct {
		State string `json:"state"`
	}
	state := ""
	switch status {
	case http.StatusOK:
		if json.Unmarshal(body, &answer) != nil {
			answer.State = "unreadable"
		}
		state = answer.State
	case http.StatusGone:
		state = "gone"
	}
	if state != "" && state != w.state {
		w.state, w.stateAt = state, time.Now()
		w.stateHistory = append(w.stateHistory, state)
	}
}

// finished reports whether no further state of a workload is expected. The caller must hold
// w.mu.
func (w *workload) finished() bool {
	return w.accepted.IsZero() || w.state == "completed" || w.state == "failed" || w.state == "cancelled" || //nolint:misspell // On the wire.
		w.longRunning && w.cancelSent.IsZero() && w.state == "running"
}

// pollAll polls every workload that is not finished and returns the number of these
// workloads.
func (c *callers) pollAll() int {
	c.mu.Lock()
	workloads := c.workloads
	c.mu.Unlock()
	unfinished := 0
	for _, w := range workloads {
		w.mu.Lock()
		finished := w.finished()
		w.mu.Unlock()
		if !finished {
			c.poll(w)
			unfinished++
		}
	}
	return unfinished
}
