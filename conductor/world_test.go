package conductor_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
	"apricotwinch/appender"
	"apricotwinch/cataloger"
	"apricotwinch/conductor"
	"apricotwinch/custodian"
	"apricotwinch/messenger"
)

const (
	step    = 10 * time.Millisecond
	service = "quotes"
	batch   = "designs"
	urgent  = "estimates"
	lasting = "watches"
	// stopTakes is how long a run goes on after its stop was ordered.
	stopTakes = 300 * time.Millisecond
)

var origin = time.Unix(1_000_000, 0)

// reporter is what a world tells of a broken rule.
type reporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// world is a deployment in virtual time, without network: one owner's conductor,
// the custodians of some hosts, and models of the executors and of the store.
type world struct {
	t      reporter
	now    time.Time
	random *rand.Rand

	owner   *conductor.Conductor
	epoch   int64
	store   map[string][]byte
	offline bool
	// refuse picks the next append that the store refuses.
	refuse func([]appender.KeyedRecord) bool
	hosts  []*modelHost
	queues map[string][]*messenger.Orders
	// ended holds the tasks that an executor has ended as done, noted those of which
	// the executor was told that the end is known.
	ended map[messenger.TaskRef]bool
	noted map[messenger.TaskRef]bool
	work  map[string]messenger.WorkloadSpec
	// lost is the share of calls of executors whose answer is lost, 0 to 1.
	lost float64
	// advise answers questions for tickets; nil where none are needed. tickets holds when
	// each lapses.
	advise  func(conductor.Question) (map[string]string, error)
	tickets map[string]time.Time
}

// modelHost is a host with its agent and its executor.
type modelHost struct {
	name string
	// dc is its data centre; empty for dc.
	dc          string
	agent       *custodian.Custodian
	incarnation int
	cut         bool
	down        bool
	machine     *machine
}

// machine is a model of an executor.
type machine struct {
	born     int
	bornAt   time.Time
	token    int64
	deadline time.Duration
	capacity apricotwinch.Resources
	runs     map[messenger.RunRef]*modelRun
	ends     []messenger.RunEnd
	barred   map[messenger.TaskRef]int
	number   int
	// slowed is how much of its speed, 0 to 1, the machine lacks.
	slowed float64
	// tail is the tail latency of serving tasks, in milliseconds.
	tail float64
}

type modelRun struct {
	order messenger.RunOrder
	left  time.Duration
	fails bool
	// stopAt is when a stop that was ordered takes effect; zero for none.
	stopAt time.Time
}

func newWorld(t reporter, seed uint64, hosts int) *world {
	w := &world{
		t:      t,
		now:    origin,
		random: rand.New(rand.NewPCG(seed, seed)),
		store:  map[string][]byte{},
		queues: map[string][]*messenger.Orders{},
		ended:  map[messenger.TaskRef]bool{},
		noted:  map[messenger.TaskRef]bool{},
		work:   map[string]messenger.WorkloadSpec{},

		tickets: map[string]time.Time{},
	}
	for i := range hosts {
		h := &modelHost{name: fmt.Sprintf("host-%d", i), machine: w.newMachine(i + 1)}
		w.hosts = append(w.hosts, h)
		w.restartAgent(h)
	}
	w.replaceOwner(true)
	return w
}

func catalog() *cataloger.Catalog {
	queue := func(name string, priority, attempts int) cataloger.Queue {
		return cataloger.Queue{Name: name, Host: "h", Prefix: "/" + name + "/", Service: service, Priority: priority, MaxAttempts: attempts}
	}
	return cataloger.New(1, 1<<20, []cataloger.Queue{queue(urgent, 0, 3), queue(batch, 2, 3), queue(lasting, 0, 3)})
}

// replaceOwner lets another owner take over from the records of the store.
func (w *world) replaceOwner(clean bool) {
	w.epoch++
	w.owner = conductor.New(conductor.DefaultConfig(), w.epoch, clean, hclog.NewNullLogger(), metrics.NewRegistry())
	w.owner.SetCatalog(catalog())
	if err := w.owner.Restore(w.now, records(w.store)); err != nil {
		w.t.Fatalf("restore: %v", err)
	}
	w.queues = map[string][]*messenger.Orders{}
}

func (w *world) newMachine(born int) *machine {
	return &machine{
		born:     born,
		bornAt:   w.now,
		capacity: apricotwinch.NewResources(16_000, 64_000, 0),
		runs:     map[messenger.RunRef]*modelRun{},
		barred:   map[messenger.TaskRef]int{},
	}
}

// restartAgent replaces the agent of a host by one that knows nothing.
func (w *world) restartAgent(h *modelHost) {
	h.incarnation++
	h.agent = custodian.New(w.now, custodian.DefaultConfig(), h.name, h.name+":1", fmt.Sprint(h.incarnation), hclog.NewNullLogger(), metrics.NewRegistry())
	h.down = false
}

// crash ends the executor of a host with all that it runs; another life follows.
func (w *world) crash(h *modelHost) { h.machine = w.newMachine(h.machine.born + 1000) }

func (w *world) announce(h *modelHost) {
	h.agent.Announced(w.now, custodian.Announcement{
		ID: "executor-" + h.name, Born: h.machine.born, Sequence: int(w.now.Sub(origin).Milliseconds()) + 1, Service: service,
		Address: h.name + ":2", DataCentre: cmp.Or(h.dc, "dc"), Capacity: h.machine.capacity, Labels: []string{"a", "r1-" + h.name},
		Clock: h.machine.clock(w.now),
	})
}

func (m *machine) clock(now time.Time) time.Duration { return now.Sub(m.bornAt) + time.Millisecond }

// submit hands in a workload and makes it durable.
func (w *world) submit(queue, id string, steps ...messenger.StepSpec) {
	w.t.Helper()
	spec := messenger.WorkloadSpec{Payload: id, Steps: steps}
	w.work[id] = spec
	if _, err := w.owner.Submit(w.now, messenger.WorkloadRequest{Queue: queue, Id: id, Spec: &spec}); err != nil {
		w.t.Fatalf("submit %s: %v", id, err)
	}
	w.flush()
}

// flush makes durable what waits, unless the store is offline.
func (w *world) flush() {
	if w.offline {
		return
	}
	if any, _ := w.owner.Wants(); !any {
		return
	}
	records, number := w.owner.TakeWrites()
	if w.refuse != nil && w.refuse(records) {
		w.refuse = nil
		w.owner.Undo(records)
		return
	}
	for _, r := range records {
		w.store[r.Key()] = r.Value()
		if len(r.Value()) == 0 {
			delete(w.store, r.Key())
		}
	}
	w.owner.Written(number, records)
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	w.t.Helper()
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

// runUntil lets time pass until a condition holds, at most d.
func (w *world) runUntil(d time.Duration, condition func() bool) time.Duration {
	w.t.Helper()
	began := w.now
	for !condition() {
		if w.now.Sub(began) > d {
			w.t.Fatalf("the condition does not hold after %s", d)
		}
		w.step()
	}
	return w.now.Sub(began)
}

func (w *world) step() {
	w.t.Helper()
	w.now = w.now.Add(step)
	tick := int(w.now.Sub(origin) / step)
	for i, h := range w.hosts {
		h.machine.advance(w)
		if h.down {
			continue
		}
		if (tick+i*7)%100 == 0 {
			w.announce(h)
		}
		if (tick+i)%3 == 0 {
			w.hold(h)
		}
		if tick%10 == 0 {
			calls, _ := h.agent.Tick(w.now)
			w.carryOut(h, calls)
		}
		if (tick+i)%4 == 0 {
			w.report(h)
		}
	}
	w.owner.Tick(w.now, w.now)
	w.owner.Schedule(w.now)
	w.answerQuestion()
	w.flush()
	w.deliver()
	w.check()
}

// answerQuestion lets the advice service answer the owner's question, if there is one.
func (w *world) answerQuestion() {
	if q, ok := w.owner.TakeQuestion(); ok {
		tickets, err := w.advise(q)
		w.owner.Advised(w.now, w.now, q, tickets, err)
	}
}

// issue returns a ticket of a step for the present life of an executor.
func (w *world) issue(step messenger.TaskRef, id string, life time.Duration) string {
	text := fmt.Sprintf("%s.%d on %s/%d #%d", step.Workload, step.Step, id, w.host(id).machine.born, len(w.tickets))
	w.tickets[text] = w.now.Add(life)
	return text
}

// host returns the host of an executor.
func (w *world) host(id string) *modelHost {
	i := slices.IndexFunc(w.hosts, func(h *modelHost) bool { return "executor-"+h.name == id })
	return w.hosts[i]
}

// permits reports whether a start carries a valid ticket, or needs none.
func (w *world) permits(h *modelHost, order messenger.RunOrder) bool {
	if w.advise == nil {
		return true
	}
	step := fmt.Sprintf("%s.%d on executor-%s/%d #", order.Run.Task.Workload, order.Run.Task.Step, h.name, h.machine.born)
	return strings.HasPrefix(order.Ticket, step) && w.now.Before(w.tickets[order.Ticket])
}

// hold plays a hold of a host's executor.
func (w *world) hold(h *modelHost) {
	call, ok := h.agent.Hold(w.now, "executor-"+h.name)
	if !ok {
		return
	}
	holding, err := h.machine.hold(w, call)
	calls, _ := h.agent.Held(w.now, w.now.Add(-time.Millisecond), call, holding, err)
	w.carryOut(h, calls)
}

// report plays a report to the owner, unless the host is cut off.
func (w *world) report(h *modelHost) {
	if h.cut {
		return
	}
	report := h.agent.Report(w.now, true)
	reply := w.owner.Report(w.now, report)
	h.agent.Answered(w.now, w.now, reply)
}

// deliver passes the owner's orders on, in order.
func (w *world) deliver() {
	for name, orders := range w.owner.TakeOrders() {
		w.queues[name] = append(w.queues[name], orders)
	}
	for _, h := range w.hosts {
		for !h.cut && !h.down && len(w.queues[h.name]) > 0 {
			orders := w.queues[h.name][0]
			_, incarnation, ticket, ok := w.owner.HostOf(h.name)
			if ok && orders.Incarnation == incarnation {
				orders.TicketMillis = ticket
				calls, err := h.agent.Ordered(w.now, *orders)
				if err != nil && apricotwinch.KindOf(err) != apricotwinch.StaleIncarnation {
					break
				}
				w.carryOut(h, calls)
			}
			w.queues[h.name] = w.queues[h.name][1:]
		}
	}
}

// carryOut makes the calls of a custodian; some answers are lost.
func (w *world) carryOut(h *modelHost, calls custodian.Calls) {
	for _, call := range calls.Starts {
		answer, err := custodian.Answer{}, apricotwinch.Errorf(apricotwinch.Forbidden, "ticket")
		if w.permits(h, call.Order) {
			answer, err = h.machine.start(w, call)
		}
		if w.random.Float64() < w.lost {
			answer, err = custodian.Answer{}, apricotwinch.Errorf(apricotwinch.Unknown, "lost")
		}
		h.agent.Started(w.now, call, answer, err)
	}
	for _, call := range calls.Stops {
		answer, err := h.machine.stop(w, call)
		if w.random.Float64() < w.lost {
			answer, err = custodian.Answer{}, apricotwinch.Errorf(apricotwinch.Unknown, "lost")
		}
		h.agent.Stopped(w.now, call, answer, err)
	}
}

// admit checks what every call of an executor carries.
func (m *machine) admit(w *world, token int64, deadline time.Duration) (custodian.Answer, error) {
	answer := custodian.Answer{Clock: m.clock(w.now), Born: m.born}
	if token < m.token {
		return answer, apricotwinch.Errorf(apricotwinch.StaleEpoch, "fence")
	}
	m.token = token
	m.deadline = max(m.deadline, deadline)
	return answer, nil
}

func (m *machine) start(w *world, call custodian.StartCall) (custodian.Answer, error) {
	answer, err := m.admit(w, call.Token, call.Deadline)
	ref := call.Order.Run
	switch {
	case err != nil:
		return answer, err
	case m.runs[ref] != nil:
		return answer, nil
	case call.Deadline <= m.clock(w.now):
		return answer, apricotwinch.Errorf(apricotwinch.DeadlineExceeded, "late")
	case ref.Run <= m.barred[ref.Task]:
		return answer, apricotwinch.Errorf(apricotwinch.Conflict, "old")
	}
	spec := w.work[ref.Task.Workload].Steps[ref.Task.Step]
	left := time.Duration(spec.EstimateMillis) * time.Millisecond
	m.runs[ref] = &modelRun{order: call.Order, left: left, fails: call.Order.Payload == "hopeless"}
	w.started(ref)
	return answer, nil
}

func (m *machine) stop(w *world, call custodian.RunCall) (custodian.Answer, error) {
	answer, err := m.admit(w, call.Token, 0)
	if err != nil {
		return answer, err
	}
	m.barred[call.Run.Task] = max(m.barred[call.Run.Task], call.Run.Run)
	if r := m.runs[call.Run]; r != nil && r.stopAt.IsZero() {
		r.stopAt = w.now.Add(stopTakes)
	}
	return answer, nil
}

func (m *machine) hold(w *world, call custodian.HoldCall) (custodian.Holding, error) {
	answer, err := m.admit(w, call.Token, call.Deadline)
	holding := custodian.Holding{Answer: answer}
	if err != nil {
		return holding, err
	}
	m.ends = slices.DeleteFunc(m.ends, func(e messenger.RunEnd) bool {
		if e.Number <= call.Seen && e.How == messenger.EndDone {
			w.noted[e.Run.Task] = true
		}
		return e.Number <= call.Seen
	})
	holding.Ends = slices.Clone(m.ends)
	for ref := range m.runs {
		state := messenger.RunState{Run: ref, Phase: messenger.RunRunning, Percent: m.runs[ref].percent(w, ref)}
		if w.work[ref.Task.Workload].Steps[ref.Task.Step].TailTargetMillis > 0 {
			state.Figure = m.tail
		}
		holding.Runs = append(holding.Runs, state)
	}
	return holding, nil
}

// percent returns how much of a run is done.
func (r *modelRun) percent(w *world, ref messenger.RunRef) int {
	whole := time.Duration(w.work[ref.Task.Workload].Steps[ref.Task.Step].EstimateMillis) * time.Millisecond
	if whole <= 0 {
		return 0
	}
	return int(100 * (whole - max(0, r.left)) / whole)
}

func (m *machine) end(w *world, ref messenger.RunRef, how string) {
	delete(m.runs, ref)
	m.barred[ref.Task] = max(m.barred[ref.Task], ref.Run)
	m.number++
	m.ends = append(m.ends, messenger.RunEnd{Number: m.number, Run: ref, How: how})
	if how == messenger.EndDone {
		w.ended[ref.Task] = true
		if spec := w.work[ref.Task.Workload].Steps[ref.Task.Step]; spec.Gang {
			for i := range spec.Tasks {
				member := ref.Task
				member.Index = i
				w.ended[member] = true
			}
		}
	}
}

// advance lets the executor's tasks work, and ends them when its leases are over.
func (m *machine) advance(w *world) {
	for _, ref := range m.refs() {
		r := m.runs[ref]
		r.left -= time.Duration(float64(step) * (1 - m.slowed))
		lasts := w.work[ref.Task.Workload].Steps[ref.Task.Step].Lasting
		switch {
		case m.clock(w.now) > m.deadline:
			m.end(w, ref, messenger.EndLapsed)
		case !r.stopAt.IsZero() && !w.now.Before(r.stopAt):
			m.end(w, ref, messenger.EndStopped)
		case r.left <= 0 && r.fails:
			m.end(w, ref, messenger.EndFailed)
		case r.left <= 0 && !lasts:
			m.end(w, ref, messenger.EndDone)
		}
	}
}

// refs returns the runs in a fixed order.
func (m *machine) refs() []messenger.RunRef {
	refs := make([]messenger.RunRef, 0, len(m.runs))
	for ref := range m.runs {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, func(a, b messenger.RunRef) int {
		if fmt.Sprint(a) < fmt.Sprint(b) {
			return -1
		}
		return 1
	})
	return refs
}

// started checks what must hold at each start.
func (w *world) started(ref messenger.RunRef) {
	w.t.Helper()
	if w.noted[ref.Task] && !w.work[ref.Task.Workload].Steps[ref.Task.Step].Lasting {
		w.t.Fatalf("%v was started after it was done", ref)
	}
	spec := w.work[ref.Task.Workload]
	for _, before := range spec.Steps[ref.Task.Step].After {
		for i := range spec.Steps[before].Tasks {
			if !w.ended[messenger.TaskRef{Workload: ref.Task.Workload, Step: before, Index: i}] {
				w.t.Fatalf("%v was started before step %d was done", ref, before)
			}
		}
	}
}

// check checks what must hold at all times.
func (w *world) check() {
	w.t.Helper()
	running := map[messenger.TaskRef]string{}
	for _, h := range w.hosts {
		var used apricotwinch.Resources
		for _, ref := range h.machine.refs() {
			if other, ok := running[ref.Task]; ok && !w.work[ref.Task.Workload].Steps[ref.Task.Step].Speculative {
				w.t.Fatalf("%v runs at %s and at %s, %s after the start", ref, other, h.name, w.now.Sub(origin))
			}
			running[ref.Task] = h.name
			spec := w.work[ref.Task.Workload].Steps[ref.Task.Step]
			if !spec.Fills {
				used = used.Add(spec.Resources.Value())
			}
		}
		if !used.Fits(h.machine.capacity) {
			w.t.Fatalf("%s holds %s of %s", h.name, used, h.machine.capacity)
		}
	}
}

// state returns the state of a workload as a caller sees it.
func (w *world) state(id string) string {
	state, err := w.owner.Show(id)
	if err != nil {
		return string(apricotwinch.KindOf(err))
	}
	return state
}

func (w *world) running(id string) int {
	n := 0
	for _, h := range w.hosts {
		for ref := range h.machine.runs {
			if ref.Task.Workload == id {
				n++
			}
		}
	}
	return n
}

// hostOf returns the host that runs a task of a workload, or nil.
func (w *world) hostOf(id string) *modelHost {
	for _, h := range w.hosts {
		for ref := range h.machine.runs {
			if ref.Task.Workload == id {
				return h
			}
		}
	}
	return nil
}

// tasks returns a step of n tasks that need cpu thousandths of a processor for d.
func tasks(n, cpu int, d time.Duration, change ...func(*messenger.StepSpec)) messenger.StepSpec {
	spec := messenger.StepSpec{
		Tasks: n, Resources: messenger.Resources{ProcessorMillis: cpu, MemoryBytes: 100}, EstimateMillis: int(d.Milliseconds()),
	}
	for _, c := range change {
		c(&spec)
	}
	return spec
}

var _ reporter = (*testing.T)(nil)

// pick returns one host at random.
func (w *world) pick() *modelHost { return w.hosts[w.random.IntN(len(w.hosts))] }

// heal ends all faults.
func (w *world) heal() {
	w.lost = 0
	w.offline = false
	for _, h := range w.hosts {
		h.cut = false
		h.machine.slowed = 0
		if h.down {
			w.restartAgent(h)
		}
	}
}

// records returns the records of a store in a fixed order.
func records(store map[string][]byte) []appender.KeyedRecord {
	var list []appender.KeyedRecord
	for key, value := range store {
		list = append(list, appender.NewKeyedRecord(key, value))
	}
	slices.SortFunc(list, func(a, b appender.KeyedRecord) int { return cmp.Compare(a.Key(), b.Key()) })
	return list
}
