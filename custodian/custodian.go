// Package custodian makes the decisions of the agent of one host: which orders of the owner it
// carries out, how long its executors' leases last, what it reports, and how far best-effort
// work beside serving work is throttled.
//
// A Custodian is passed announcements and answers of executors, orders of the owner and the
// time. It returns the calls to make. It does no I/O and starts no goroutine. It is not safe
// for concurrent use.
package custodian

import (
	"time"

	"apricotwinch"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"apricotwinch/messenger"
	"apricotwinch/pacer"
)

// Config holds the time limits and thresholds of a Custodian.
type Config struct {
	// Lease is how long runs may continue at most after the last report whose answer renewed their lease.
	Lease time.Duration
	// MaxLease bounds any lease: an executor shortens a longer one. MaxCallDelay is how much later than it
	// was made an executor may carry out a call without an answer.
	MaxLease     time.Duration
	MaxCallDelay time.Duration
	// RenewalPeriod is the time between two holds that renew the leases of an executor that answers.
	RenewalPeriod time.Duration
	// MaxShortHold is how long a long-running task, or one of which several runs may go on, waits for a start that may be
	// under way to an executor that has ended or fallen silent.
	MaxShortHold time.Duration
	// Margin is the time from the end of the last lease that an executor may have received until its
	// runs count as ended.
	Margin time.Duration
	// MaxAckDelay bounds how long the acknowledgment of a durable end waits for starts that may be under way;
	// users accept 4 s from the end of the run.
	MaxAckDelay time.Duration
	// RetryDelay is the time after which an unanswered call is repeated.
	RetryDelay time.Duration
	// SilenceTimeout is how long an executor must be silent to count as unreachable.
	SilenceTimeout time.Duration
	// AnnouncementTTL is how long an executor that never answered is remembered after its last
	// announcement.
	AnnouncementTTL time.Duration
	// WholeReportPeriod is the time between two reports that list everything. A lease lasts for
	// several of them.
	WholeReportPeriod time.Duration
	// HoldWait is how long an executor waits for a run to end before it answers a hold.
	HoldWait time.Duration
	// Smoothing is the weight of the latest measurement in the headroom of a serving task, 0 to 1.
	Smoothing float64
	// DoubtAfter is how long a tail latency exceeds its target before the interference estimates
	// are in doubt; users accept 4 s.
	DoubtAfter time.Duration
	// MinLoggedChange is the least change of a pace that is logged, in percent.
	MinLoggedChange int
	// Pacer holds the thresholds by which best-effort work is throttled.
	Pacer pacer.Config
	// DefaultInterference is the interference of a pair of images without an estimate.
	DefaultInterference float64
}

// DefaultConfig returns the configuration used by agents.
func DefaultConfig() Config {
	return Config{
		Lease:               apricotwinch.ExecutorLease,
		MaxLease:            10 * time.Second,
		MaxCallDelay:        apricotwinch.MaxCallDelay,
		RenewalPeriod:       400 * time.Millisecond,
		MaxShortHold:        apricotwinch.MaxShortHold,
		Margin:              200 * time.Millisecond,
		MaxAckDelay:         3 * time.Second,
		RetryDelay:          350 * time.Millisecond,
		SilenceTimeout:      time.Second,
		AnnouncementTTL:     5 * time.Second,
		WholeReportPeriod:   350 * time.Millisecond,
		HoldWait:            250 * time.Millisecond,
		Smoothing:           0.6,
		DoubtAfter:          1500 * time.Millisecond,
		MinLoggedChange:     25,
		Pacer:               pacer.DefaultConfig(),
		DefaultInterference: pacer.DefaultConfig().AssumedInterference,
	}
}

// Calls holds the calls to executors that the agent must make.
type Calls struct {
	Starts []StartCall
	Stops  []RunCall
	Paces  []RunCall
	// Probes are holds whose answers HandleProbeAnswer takes.
	Probes []HoldCall
}

// Custodian holds the state of one host's executors.
type Custodian struct {
	config      Config
	logger      hclog.Logger
	registry    metrics.Registry
	host        string
	address     string
	incarnation string
	startedAt   time.Time

	epoch           int
	lastOrders      int
	ownerAnsweredAt time.Time
	executors       map[string]*executor
	ended           []*endedIncarnation
	refusals        []messenger.RunRefusal
	refusalCount    int
	updatedAt       time.Time
	wholeReportAt   time.Time
	wholeReportDue  bool
	// lastTokens holds the greatest fencing token that was used under each id of an executor.
	lastTokens map[string]int64
	// starts holds the starts that may still be carried out, by the id of the executor.
	starts map[string]*underWayStarts
	// interferences holds the estimates that the owner sent, by the serving and the best-effort
	// image.
	interferences map[[2]string]float64
}

// New returns the custodian of a host. Address is where the agent serves entries, and
// incarnation identifies the process of the agent.
func New(now time.Time, config Config, host, address, incarnation string, logger hclog.Logger, registry metrics.Registry) *Custodian {
	return &Custodian{
		config:          config,
		logger:          logger,
		registry:        registry,
		host:            host,
		address:         address,
		incarnation:     incarnation,
		startedAt:       now,
		ownerAnsweredAt: now,
		executors:       map[string]*executor{},
		lastTokens:      map[string]int64{},
		starts:          map[string]*underWayStarts{},
		interferences:   map[[2]string]float64{},
	}
}

// Epoch returns the greatest epoch that the agent knows.
func (c *Custodian) Epoch() int { return c.epoch }
