package gauger

import "time"

// Sizes and times of the model.
const (
	hostCount         = 11
	slots             = 8                      // requests that a host serves at a time
	connections       = 64                     // requests that a host holds, running or queued
	meanService       = 50 * time.Millisecond  // mean time to serve a request
	networkDelay      = 500 * time.Microsecond // one way
	requestTimeout    = time.Second            // time from the arrival of a request to its deadline
	heartbeatPeriod   = 2 * time.Second
	digestAge         = 2 * time.Second        // delay until the other entries receive a heartbeat
	tickPeriod        = 100 * time.Millisecond // period of the policy's tick
	runDuration       = 60 * time.Second
	warmUp            = 10 * time.Second
	faultStart        = 20 * time.Second
	faultEnd          = 40 * time.Second
	detectionTime     = 5 * time.Second  // time allowed to detect a slow host
	settingsDelay     = time.Second      // delay until entries see an edit of the settings
	failingReplyDelay = time.Millisecond // time until a failing host answers with an error
)

// capacity is the number of requests per second that all hosts together can serve.
const capacity = float64(hostCount*slots) / (float64(meanService) / float64(time.Second))

var (
	dataCentres      = []string{"kopli", "kalamaja", "ulemiste", "mustamae"}
	entryDataCentres = []string{"kopli", "kalamaja", "ulemiste"}
)

// fault is the fault that occurs in a scenario.
type fault int

const (
	noFault fault = iota
	slowHost
	failingHost
	hungHost
	noisyHosts
	dataCentreOut
)

// mix holds how many of ten requests are critical and how many are standard; the others are
// batch.
type mix struct {
	critical int
	standard int
}

var usualMix = mix{critical: 5, standard: 3}

// Scenario is a load, as a share of the capacity of all hosts, and a fault.
type Scenario struct {
	name  string
	load  float64
	fault fault
	mix   mix
	skew  float64 // share of the requests that go to the first entry; the rest spread evenly over all
}

// Scenarios returns the scenarios in which the policies are compared.
func Scenarios() []Scenario {
	return []Scenario{
		{name: Calm, load: 0.5, mix: usualMix},
		{name: "85% load", load: 0.85, mix: usualMix},
		{name: "85% load, uneven entries", load: 0.85, mix: usualMix, skew: 0.7},
		{name: Overload, load: 1.2, mix: usualMix},
		{name: UnevenOverload, load: 1.2, mix: usualMix, skew: 0.7},
		{name: CriticalOverload, load: 1.4, mix: mix{critical: 9}},
		{name: SlowHost, load: 0.5, fault: slowHost, mix: usualMix},
		{name: "slow host, 85% load", load: 0.85, fault: slowHost, mix: usualMix},
		{name: FailingHost, load: 0.5, fault: failingHost, mix: usualMix},
		{name: FailingHostIdle, load: 0.02, fault: failingHost, mix: usualMix},
		{name: HungHost, load: 0.5, fault: hungHost, mix: usualMix},
		{name: "noisy wave, 60% load", load: 0.6, fault: noisyHosts, mix: usualMix},
		{name: DataCentreOut, load: 0.5, fault: dataCentreOut, mix: usualMix},
	}
}

// Names of the scenarios for which a target is set.
const (
	Calm             = "calm"
	Overload         = "120% load"
	UnevenOverload   = "120% load, uneven entries"
	CriticalOverload = "126% critical, 14% batch"
	SlowHost         = "slow host"
	FailingHost      = "failing host"
	FailingHostIdle  = "failing host, 2% load"
	HungHost         = "hung host"
	DataCentreOut    = "data centre out and back"
)

// Name returns the name of the scenario.
func (s Scenario) Name() string { return s.name }

// measurementStart returns when the measurement begins: after the warm-up, at the start of
// the fault, or after the time allowed to detect slow hosts.
func (s Scenario) measurementStart() time.Duration {
	switch s.fault {
	case slowHost, noisyHosts:
		return faultStart + detectionTime
	case failingHost, hungHost, dataCentreOut:
		return faultStart
	}
	return warmUp
}
