package elector_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"apricotwinch/elector"
	"apricotwinch/messenger"
)

const (
	// replyTimeout is how long an entry waits for the reply to a ping.
	replyTimeout = 600 * time.Millisecond
	// messageDelay is how long a message takes.
	messageDelay = time.Millisecond
	// takeoverTick is the time between two steps of a takeoverSimulation.
	takeoverTick = 25 * time.Millisecond
)

// entryProcess is one process of an entry.
type entryProcess struct {
	*elector.Elector
	member messenger.Member
	dead   bool
	// frozenUntil and offlineUntil are when the process thaws and when it reaches the store again.
	frozenUntil, offlineUntil time.Time
	claiming                  bool
}

// link is a direction between two entries. Until its time is over it refuses or holds up messages.
type link struct {
	until   time.Time
	refuses bool
}

// takeover is an epoch in which an owner has begun to act.
type takeover struct {
	epoch int64
	owner *entryProcess
	// at is when the owner knew that its claim was committed.
	at time.Time
	// stopped is the owner before, if the successor took it for stopped.
	stopped *entryProcess
}

// takeoverSimulation joins electors over a network with partitions that hold messages up or refuse
// them, and to a store that carries claims out late. Entries freeze, are killed and restart.
type takeoverSimulation struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	// processes holds the last process of each entry; all, also the earlier ones.
	processes map[string]*entryProcess
	names     []string
	links     map[[2]string]link
	// events holds what happens later.
	events    []event
	epoch     int64
	owners    map[int64]*entryProcess
	takeovers []takeover
	restarts  int
	// slowRead is whether an entry that has claimed takes up to 3 s to read the journal.
	slowRead bool
}

type event struct {
	at time.Time
	do func()
}

func newTakeoverSimulation(t *testing.T, seed uint64, entries int) *takeoverSimulation {
	sim := &takeoverSimulation{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), now: start,
		processes: map[string]*entryProcess{}, links: map[[2]string]link{}, owners: map[int64]*entryProcess{},
	}
	for i := range entries {
		sim.names = append(sim.names, fmt.Sprint("entry-", i))
	}
	for _, name := range sim.names {
		sim.restart(name)
	}
	return sim
}

func (sim *takeoverSimulation) later(d time.Duration, do func()) {
	sim.events = append(sim.events, event{at: sim.now.Add(d), do: do})
}

// between returns a random duration of low to high milliseconds.
func (sim *takeoverSimulation) between(low, high int) time.Duration {
	return time.Duration(low+sim.random.IntN(high-low)) * time.Millisecond
}

// restart starts a process of an entry, which reads the members and the owner from the store.
func (sim *takeoverSimulation) restart(name string) {
	sim.restarts++
	p := &entryProcess{member: messenger.Member{Name: name, Address: name + ":1", Incarnation: fmt.Sprint(name, "-", sim.restarts)}}
	p.Elector = elector.New(sim.now, elector.DefaultConfig(), p.member)
	for _, other := range sim.names {
		if q := sim.processes[other]; q != nil && other != name {
			p.AddMember(sim.now, q.member)
			q.AddMember(sim.now, p.member)
		}
	}
	if owner := sim.owners[sim.epoch]; owner != nil {
		p.RecordOwner(sim.now, sim.epoch, owner.member)
	}
	sim.processes[name] = p
}

// send delivers a message from one entry to another: as it is sent, or when the partition between
// them is over. It reports whether the message was refused.
func (sim *takeoverSimulation) send(from, to string, deliver func()) (refused bool) {
	delay := messageDelay
	if l := sim.links[[2]string{from, to}]; sim.now.Before(l.until) {
		if l.refuses {
			return true
		}
		delay = l.until.Sub(sim.now) + sim.between(0, 300)
	}
	sim.later(delay, deliver)
	return false
}

// ping sends a ping from p to an entry, whose process at the time of arrival replies.
func (sim *takeoverSimulation) ping(p *entryProcess, target messenger.Member) {
	request, sent := p.Ping(sim.now, 0), sim.now
	var arrive func()
	arrive = func() {
		q := sim.processes[target.Name]
		if q.dead {
			sim.later(messageDelay, func() { p.MarkPeerGone(sent, target) })
			return
		}
		if sim.now.Before(q.frozenUntil) {
			sim.later(q.frozenUntil.Sub(sim.now), arrive)
			return
		}
		q.HandlePing(sim.now, request)
		reply, owner, epoch := q.Ping(sim.now, 0), q.Owner(), q.Epoch()
		sim.send(target.Name, p.member.Name, func() {
			if p.dead || sim.now.Sub(sent) > replyTimeout || sim.now.Before(p.frozenUntil) {
				return
			}
			p.HandlePingReply(sent, sim.now, reply)
			if request.AsksOwner && owner.Name != "" {
				p.RecordOwner(sim.now, epoch, owner)
			}
		})
	}
	if sim.send(p.member.Name, target.Name, arrive) {
		p.MarkPeerGone(sent, target)
	}
}

// claim sends a claim, which the store carries out at once or late, and answers or not.
func (sim *takeoverSimulation) claim(p *entryProcess) {
	p.claiming = true
	epoch, sent, stopped := p.Epoch()+1, sim.now, (*entryProcess)(nil)
	if p.PreviousOwnerStopped() {
		stopped = sim.owners[epoch-1]
	}
	delay, answered := 4*time.Millisecond, true
	if sim.random.IntN(4) == 0 {
		delay, answered = sim.between(500, 6000), sim.random.IntN(2) == 0
	}
	sim.later(delay, func() {
		committed := sim.epoch < epoch
		if committed {
			sim.epoch = epoch
			sim.owners[epoch] = p
		}
		if !answered || p.dead {
			p.claiming = false
			return
		}
		var act func()
		act = func() {
			if sim.now.Before(p.frozenUntil) {
				sim.later(p.frozenUntil.Sub(sim.now), act)
				return
			}
			switch {
			case p.dead:
				p.claiming = false
			case !committed || p.Epoch() > epoch:
				p.claiming = false
				p.RecordLaterEpoch(sim.now, epoch)
			default:
				p.RecordTakeover(epoch)
				sim.takeOver(p, sent, takeover{epoch: epoch, owner: p, at: sim.now, stopped: stopped})
			}
		}
		sim.later(4*time.Millisecond, act)
	})
}

// takeOver has an entry read the journal after its claim, which was sent at sent, and then act as the owner.
func (sim *takeoverSimulation) takeOver(p *entryProcess, sent time.Time, next takeover) {
	act := func() {
		p.claiming = false
		if p.Epoch() <= next.epoch {
			p.RecordClaim(sent, sim.now, next.epoch)
			sim.takeovers = append(sim.takeovers, next)
		}
		p.EndTakeover(sim.now)
		for _, m := range p.AllPingTargets(sim.now) {
			sim.ping(p, m)
		}
	}
	if !sim.slowRead {
		act()
		return
	}
	var read func()
	read = func() {
		switch {
		case p.dead:
			p.claiming = false
		case sim.now.Before(p.frozenUntil):
			sim.later(p.frozenUntil.Sub(sim.now), read)
		default:
			act()
		}
	}
	sim.later(sim.between(100, 3000), read)
}

// injectFault begins a random fault.
func (sim *takeoverSimulation) injectFault() {
	name := sim.names[sim.random.IntN(len(sim.names))]
	p := sim.processes[name]
	until := sim.now.Add(sim.between(300, 6000))
	switch sim.random.IntN(7) {
	case 0, 1, 2:
		oneWay, refuses := sim.random.IntN(3) == 0, sim.random.IntN(2) == 0
		for _, other := range sim.names {
			if other == name || sim.random.IntN(4) == 0 {
				continue
			}
			sim.links[[2]string{name, other}] = link{until: until, refuses: refuses}
			if !oneWay {
				sim.links[[2]string{other, name}] = link{until: until, refuses: refuses}
			}
		}
		if sim.random.IntN(2) == 0 {
			p.offlineUntil = until
		}
	case 3:
		p.offlineUntil = until
	case 4:
		for _, q := range sim.processes {
			q.offlineUntil = until
		}
	case 5:
		p.frozenUntil = until
	case 6:
		if !p.dead {
			p.dead = true
			sim.later(sim.between(200, 3000), func() { sim.restart(name) })
		}
	}
}

func (sim *takeoverSimulation) step() {
	sim.now = sim.now.Add(takeoverTick)
	if sim.random.IntN(40) == 0 {
		sim.injectFault()
	}
	for {
		i := slices.IndexFunc(sim.events, func(e event) bool { return !e.at.After(sim.now) })
		if i < 0 {
			break
		}
		e := sim.events[i]
		sim.events = slices.Delete(sim.events, i, i+1)
		e.do()
	}
	for _, name := range sim.names {
		p := sim.processes[name]
		if p.dead || sim.now.Before(p.frozenUntil) {
			continue
		}
		online := !sim.now.Before(p.offlineUntil)
		if online {
			p.RecordStoreAnswer(sim.now)
		}
		if online && p.ProofDue(sim.now) {
			if p.Epoch() == sim.epoch {
				p.RecordAppend(sim.now)
			} else {
				p.RecordLaterEpoch(sim.now, p.Epoch()+1)
			}
		}
		if p.Tick(sim.now) == elector.Claim && !p.claiming && online {
			sim.claim(p)
		}
		for _, m := range p.PingTargets(sim.now) {
			sim.ping(p, m)
		}
	}
	sim.check()
}

// check checks what successors rely on: an owner that was taken for stopped doesn't act, any other one
// acts for at most AuthorityTimeout after its successor knew that its claim was committed, and none proves that
// it had no successor after that.
func (sim *takeoverSimulation) check() {
	sim.t.Helper()
	for _, next := range sim.takeovers {
		if p := next.stopped; p != nil && !p.dead && p.HasAuthority(sim.now) && p.Epoch() < next.epoch {
			sim.t.Fatalf("%s: %s acts in epoch %d, but %s took it for stopped in epoch %d", sim.now.Sub(start), p.member.Incarnation, p.Epoch(), next.owner.member.Incarnation, next.epoch)
		}
		for _, name := range sim.names {
			p := sim.processes[name]
			if p.dead || !p.IsOwner() || p.Epoch() >= next.epoch {
				continue
			}
			if p.HasAuthority(sim.now) && sim.now.Sub(next.at) > elector.DefaultConfig().AuthorityTimeout {
				sim.t.Fatalf("%s: %s acts in epoch %d, %s after epoch %d began", sim.now.Sub(start), p.member.Incarnation, p.Epoch(), sim.now.Sub(next.at), next.epoch)
			}
			if late := p.ProvenAt(sim.now).Sub(next.at); late > 0 {
				sim.t.Fatalf("%s: %s in epoch %d has a proof from %s after epoch %d began", sim.now.Sub(start), p.member.Incarnation, p.Epoch(), late, next.epoch)
			}
		}
	}
}

// TestSuccessorsKnowWhenOwnersStop guards against two owners that act for one host: a successor that
// takes its predecessor for stopped too early, and an owner that acts, or grants leases, on a proof that it has no
// successor, under partitions of all kinds, freezes, restarts and late claims.
func TestSuccessorsKnowWhenOwnersStop(t *testing.T) {
	const seeds, duration = 100, time.Minute
	clean, all := 0, 0
	for n := range uint64(2 * seeds) {
		seed, slowRead := n/2, n%2 == 1
		t.Run(fmt.Sprintf("seed-%d, slow read %t", seed, slowRead), func(t *testing.T) {
			sim := newTakeoverSimulation(t, seed, 4)
			sim.slowRead = slowRead
			for end := sim.now.Add(duration); sim.now.Before(end); {
				sim.step()
			}
			for _, next := range sim.takeovers {
				all++
				if next.stopped != nil {
					clean++
				}
			}
		})
	}
	if clean == 0 || all < seeds {
		t.Errorf("%d takeovers, %d of them from an owner that had stopped, exercise too little", all, clean)
	}
}
