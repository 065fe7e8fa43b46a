package limiter

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"apricotwinch"
)

// Quota bounds the requests of one team at one entry.
type Quota struct {
	perSecond  float64
	burst      int
	concurrent int
}

// NewQuota returns a quota of perSecond requests a second on average, burst at
// once and concurrent in flight. It fails with kind Invalid unless all are
// positive.
func NewQuota(perSecond float64, burst, concurrent int) (Quota, error) {
	if !(perSecond > 0) {
		return Quota{}, apricotwinch.Errorf(apricotwinch.Invalid, "quota: perSecond %g is not positive", perSecond)
	}
	if burst < 1 {
		return Quota{}, apricotwinch.Errorf(apricotwinch.Invalid, "quota: burst %d is below 1", burst)
	}
	if concurrent < 1 {
		return Quota{}, apricotwinch.Errorf(apricotwinch.Invalid, "quota: concurrent %d is below 1", concurrent)
	}
	return Quota{perSecond: perSecond, burst: burst, concurrent: concurrent}, nil
}

// Unlimited returns the quota that bounds nothing.
func Unlimited() Quota {
	return Quota{perSecond: math.Inf(1), burst: math.MaxInt32, concurrent: math.MaxInt32}
}

// PerSecond returns the requests a second on average.
func (q Quota) PerSecond() float64 { return q.perSecond }

// Burst returns the requests at once.
func (q Quota) Burst() int { return q.burst }

// Concurrent returns the requests in flight.
func (q Quota) Concurrent() int { return q.concurrent }

func (q Quota) limit() rate.Limit {
	if math.IsInf(q.perSecond, 1) {
		return rate.Inf
	}
	return rate.Limit(q.perSecond)
}

// team is the use that one team makes of its quota.
type team struct {
	name     string
	quota    Quota
	tokens   *rate.Limiter
	inFlight int
	own      bool // whether the quota is the team's own
}

func newTeam(name string, quota Quota, own bool) *team {
	return &team{name: name, quota: quota, tokens: rate.NewLimiter(quota.limit(), quota.burst), own: own}
}

// setQuota changes the quota and keeps the tokens that are left.
func (t *team) setQuota(now time.Time, quota Quota) {
	t.quota = quota
	t.tokens.SetLimitAt(now, quota.limit())
	t.tokens.SetBurstAt(now, quota.burst)
}

// wait returns the time until the next request is within the rate.
func (t *team) wait(now time.Time) time.Duration {
	missing := 1 - t.tokens.TokensAt(now)
	return time.Duration(math.Ceil(missing / t.quota.perSecond * float64(time.Second)))
}
