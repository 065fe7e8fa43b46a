package gauger

import "time"

// Sizes of the model.
const (
	hostCount    = 11
	slots        = 8
	connections  = 64
	meanService  = 50 * time.Millisecond
	networkDelay = 500 * time.Microsecond
	deadline     = time.Second
	heartbeat    = 2 * time.Second
	digestAge    = 2 * time.Second
	tickPeriod   = 100 * time.Millisecond
	length       = 60 * time.Second
	warmUp       = 10 * time.Second
	faultAt      = 20 * time.Second
	faultEnds    = 40 * time.Second
	detection    = 5 * time.Second
	viewDelay    = time.Second
	failingDelay = time.Millisecond
)

// capacity is the requests a second that all hosts together can serve.
const capacity = float64(hostCount*slots) / (float64(meanService) / float64(time.Second))

var (
	dataCentres      = []string{"kopli", "kalamaja", "ulemiste", "mustamae"}
	entryDataCentres = []string{"kopli", "kalamaja", "ulemiste"}
)

// fault is what goes wrong in a scenario.
type fault int

const (
	noFault fault = iota
	slowHost
	failingHost
	hungHost
	noisyHosts
	dataCentreOut
)

// mix is the parts of ten of the requests that are critical and standard; the
// others are batch.
type mix struct {
	critical int
	standard int
}

var usualMix = mix{critical: 5, standard: 3}

// Scenario is a load, as a share of what all hosts can serve, and a fault.
type Scenario struct {
	name  string
	load  float64
	fault fault
	mix   mix
	skew  float64 // share of the requests that all come to the first entry
}

// Scenarios returns the scenarios that policies are compared in.
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

// measuredFrom returns when the measurement begins: after the start, or after
// the time in which a slow host is to be detected.
func (s Scenario) measuredFrom() time.Duration {
	switch s.fault {
	case slowHost, noisyHosts:
		return faultAt + detection
	case failingHost, hungHost, dataCentreOut:
		return faultAt
	}
	return warmUp
}
