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

// policy makes the decisions of one entry.
type policy struct {
	// observe processes a heartbeat that an entry received age ago.
	observe func(now time.Time, announce messenger.Announce, age time.Duration)
	// tick is called in every tick period.
	tick func(now time.Time)
	// setOut takes a data centre out of service or returns it to service.
	setOut func(now time.Time, dataCentre string, out bool)
	// admit returns the function that releases an admitted request's permit, or nil for a
	// refused request.
	admit func(now time.Time, urgency apricotwinch.Urgency) func()
	// choose returns a target and the name of its host. The name is empty if there is no
	// target.
	choose func(now time.Time, r *request) (handle any, host string)
	// attemptEnded reports the outcome of an attempt to the policy.
	attemptEnded func(now time.Time, a *attempt, out outcome)
	// retry returns when a request is tried again, and whether it is tried again at all.
	retry func(now time.Time, a *attempt, kind apricotwinch.Kind) (time.Time, bool)
}

// Policy names a request policy.
type Policy string

const (
	// Composed uses the tracker, router, limiter and retrier together, as an entry does.
	Composed Policy = "composed"
	// RoundRobin sends to the hosts in turn, retries every failure at once and sheds
	// nothing.
	RoundRobin Policy = "round robin"
	// Random sends to a random host, retries every failure at once and sheds nothing.
	Random Policy = "random"
)

// policyConstructors holds the function that makes each policy for an entry in a data
// centre.
var policyConstructors = map[Policy]func(dataCentre string, seed uint64) policy{
	Composed:   newComposed,
	RoundRobin: func(string, uint64) policy { return newNaive(roundRobin()) },
	Random:     func(_ string, seed uint64) policy { return newNaive(random(seed)) },
}

// Policies returns the compared policies, the naive ones last.
func Policies() []Policy { return []Policy{Composed, RoundRobin, Random} }

// newComposed returns the policy of an entry that uses the decision packages.
func newComposed(dataCentre string, seed uint64) policy {
	hostTracker := tracker.New(tracker.DefaultConfig())
	targetRouter := router.New(router.DefaultConfig(), seed)
	admission := limiter.New(limiter.DefaultConfig(), seed)
	retries := retrier.New(retrier.DefaultConfig(), seed)
	apply := func(now time.Time, changes []tracker.Change) {
		for _, change := range changes {
			targetRouter.Apply(now, change)
		}
	}
	tick := func(now time.Time) {
		apply(now, hostTracker.Tick(now))
		c := targetRouter.Capacity(now, service)
		must(admission.SetCapacity(service, c.Slots(), c.Connections(), len(entryDataCentres)))
		admission.SetOtherRequests(service, c.OtherRequests())
	}
	return policy{
		observe: func(now time.Time, announce messenger.Announce, age time.Duration) {
			changes, err := hostTracker.ObserveDigest(now, messenger.Digest{
				Hosts:      []messenger.Announce{announce},
				AgesMillis: []int{int(age.Milliseconds())},
			})
			must(err)
			apply(now, changes)
		},
		tick:   tick,
		setOut: targetRouter.SetOutOfService,
		admit: func(now time.Time, urgency apricotwinch.Urgency) func() {
			permit := admission.Admit(now, service.Team(), service, urgency).Permit()
			if permit == nil {
				return nil
			}
			return permit.Release
		},
		choose: func(now time.Time, r *request) (any, string) {
			target, err := targetRouter.Choose(now, service, r.urgency, dataCentre, r.triedHosts...)
			if err != nil {
				return nil, ""
			}
			targetRouter.RecordSent(now, target)
			if len(r.triedHosts) == 0 {
				retries.RecordFirstTry(service.Team(), target.Host())
			}
			return target, target.Host()
		},
		attemptEnded: func(now time.Time, a *attempt, out outcome) {
			target := a.handle.(router.Target)
			targetRouter.RecordAnswer(now, target, now.Sub(a.sent), out.kind)
			targetRouter.RecordLoad(now, target, out.busy, out.queued)
		},
		retry: func(now time.Time, a *attempt, kind apricotwinch.Kind) (time.Time, bool) {
			r := a.request
			d := retries.Decide(now, retrier.NewTry(service.Team(), a.host.name, len(r.triedHosts), r.idempotent, r.deadline, kind))
			return d.At(), d.Retry()
		},
	}
}

// naiveMaxTries is the maximum number of attempts for a request under the naive policies.
const naiveMaxTries = 3

// newNaive returns a policy that admits everything, sends to any host that has announced
// itself, as pick chooses among n hosts, and retries every failure at once except an
// exceeded deadline.
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
		attemptEnded: func(time.Time, *attempt, outcome) {},
		retry: func(now time.Time, a *attempt, kind apricotwinch.Kind) (time.Time, bool) {
			return now, kind != apricotwinch.DeadlineExceeded && len(a.request.triedHosts) < naiveMaxTries
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

// must panics on an error that only a fault in the model can cause.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
