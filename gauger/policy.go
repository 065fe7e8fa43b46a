package gauger

import (
	"math/rand/v2"
	"time"

	"apricotwinch"
	"apricotwinch/limiter"
	"apricotwinch/messenger"
	"apricotwinch/retrier"
	"apricotwinch/router"
	"apricotwinch/tracker"
)

var service = tracker.NewService("ketioli", "vahaportaal")

// policy is what one entry decides.
type policy struct {
	// observe takes a heartbeat that an entry received some time ago.
	observe func(now time.Time, announce messenger.Announce, age time.Duration)
	// tick is called each tickPeriod.
	tick func(now time.Time)
	// setOut tells that a data centre is out of service or back.
	setOut func(now time.Time, dataCentre string, out bool)
	// admit returns what gives the place of an admitted request back, or nil.
	admit func(now time.Time, urgency apricotwinch.Urgency) func()
	// choose returns a target and its host; the host is empty when there is none.
	choose func(now time.Time, r *request) (handle any, host string)
	// answered takes the end of an attempt.
	answered func(now time.Time, a *attempt, out outcome)
	// retry returns when a request is tried again.
	retry func(now time.Time, a *attempt, kind apricotwinch.Kind) (time.Time, bool)
}

// Policy names a way to decide.
type Policy string

const (
	// Composed is the tracker, router, limiter and retrier together.
	Composed Policy = "composed"
	// RoundRobin sends to the hosts in turn, retries blindly and sheds nothing.
	RoundRobin Policy = "round robin"
	// Random sends to a host at random, retries blindly and sheds nothing.
	Random Policy = "random"
)

// policies makes the policy of an entry in a data centre.
var policies = map[Policy]func(dataCentre string, seed uint64) policy{
	Composed:   newComposed,
	RoundRobin: func(string, uint64) policy { return newNaive(roundRobin()) },
	Random:     func(_ string, seed uint64) policy { return newNaive(random(seed)) },
}

// Policies returns the policies that are compared, the naive ones last.
func Policies() []Policy { return []Policy{Composed, RoundRobin, Random} }

// newComposed returns the policy of an entry that uses the decision packages.
func newComposed(dataCentre string, seed uint64) policy {
	members := tracker.New(tracker.DefaultConfig())
	routes := router.New(router.DefaultConfig(), seed)
	admission := limiter.New(limiter.DefaultConfig(), seed)
	retries := retrier.New(retrier.DefaultConfig(), seed)
	apply := func(now time.Time, changes []tracker.Change) {
		for _, change := range changes {
			routes.Apply(now, change)
		}
	}
	tick := func(now time.Time) {
		apply(now, members.Tick(now))
		c := routes.Capacity(now, service)
		must(admission.SetCapacity(service, c.Slots(), c.Connections(), len(entryDataCentres)))
		admission.SetOthers(service, c.Others())
	}
	return policy{
		observe: func(now time.Time, announce messenger.Announce, age time.Duration) {
			changes, err := members.ObserveDigest(now, messenger.Digest{
				Hosts:      []messenger.Announce{announce},
				AgesMillis: []int{int(age.Milliseconds())},
			})
			must(err)
			apply(now, changes)
		},
		tick:   tick,
		setOut: routes.SetOut,
		admit: func(now time.Time, urgency apricotwinch.Urgency) func() {
			place := admission.Admit(now, service.Team(), service, urgency).Place()
			if place == nil {
				return nil
			}
			return place.Release
		},
		choose: func(now time.Time, r *request) (any, string) {
			target, err := routes.Choose(now, service, r.urgency, dataCentre, r.tried...)
			if err != nil {
				return nil, ""
			}
			routes.Sent(now, target)
			if len(r.tried) == 0 {
				retries.Began(service.Team(), target.Host())
			}
			return target, target.Host()
		},
		answered: func(now time.Time, a *attempt, out outcome) {
			target := a.handle.(router.Target)
			routes.Answered(now, target, now.Sub(a.sent), out.kind)
			routes.Loaded(now, target, out.busy, out.queued)
		},
		retry: func(now time.Time, a *attempt, kind apricotwinch.Kind) (time.Time, bool) {
			r := a.request
			d := retries.Decide(now, retrier.NewTry(service.Team(), a.host.name, len(r.tried), r.idempotent, r.deadline, kind))
			return d.At(), d.Retry()
		},
	}
}

// naiveTries is the number of tries of the naive policies.
const naiveTries = 3

// newNaive returns a policy that sends to any host that it has heard of, as pick
// chooses among n, retries whatever fails and admits everything.
func newNaive(pick func(n int) int) policy {
	var names []string
	known := map[string]bool{}
	return policy{
		observe: func(_ time.Time, announce messenger.Announce, _ time.Duration) {
			if !known[announce.Host] {
				known[announce.Host] = true
				names = append(names, announce.Host)
			}
		},
		tick:   func(time.Time) {},
		setOut: func(time.Time, string, bool) {},
		admit:  func(time.Time, apricotwinch.Urgency) func() { return func() {} },
		choose: func(time.Time, *request) (any, string) {
			if len(names) == 0 {
				return nil, ""
			}
			return nil, names[pick(len(names))]
		},
		answered: func(time.Time, *attempt, outcome) {},
		retry: func(now time.Time, a *attempt, kind apricotwinch.Kind) (time.Time, bool) {
			return now, kind != apricotwinch.DeadlineExceeded && len(a.request.tried) < naiveTries
		},
	}
}

func roundRobin() func(n int) int {
	next := 0
	return func(n int) int {
		next++
		return next % n
	}
}

func random(seed uint64) func(n int) int {
	return rand.New(rand.NewPCG(seed, seed)).IntN
}

// must panics on an error that only a fault of the model can bring about.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
