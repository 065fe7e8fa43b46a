package limiter

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"apricotwinch"
)

// Quota limits the requests of one team at one entry.
type Quota struct {
	perSecond  float64
	burst      int
	concurrent int
}

// NewQuota returns a quota of an average of perSecond requests per second, burst
// requests at once, and concurrent requests in flight. It fails with kind Invalid
// unless all of them are positive.
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

// Unlimited returns a quota without limits.
func Unlimited() Quota {
	return Quota{perSecond: math.Inf(1), burst: math.MaxInt32, concurrent: math.MaxInt32}
}

// PerSecond returns the allowed average number of requests per second.
func (q Quota) PerSecond() float64 { return q.perSecond }

// Burst returns the number of requests allowed at once.
func (q Quota) Burst() int { return q.burst }

// Concurrent returns the number of requests allowed in flight.
func (q Quota) Concurrent() int { return q.concurrent }

func (q Quota) limit() rate.Limit {
	if math.IsInf(q.perSecond, 1) {
		return rate.Inf
	}
	return rate.Limit(q.perSecond)
}

// team holds the quota of one team and its current use.
type team struct {
	name        string
	quota       Quota
	tokens      *rate.Limiter
	inFlight    int
	hasOwnQuota bool // false for the default quota
}

func newTeam(name string, quota Quota, own bool) *team {
	return &team{name: name, quota: quota, tokens: rate.NewLimiter(quota.limit(), quota.burst), hasOwnQuota: own}
}

// setQuota changes the quota and keeps the remaining tokens.
func (t *team) setQuota(now time.Time, quota Quota) {
	t.quota = quota
	t.tokens.SetLimitAt(now, quota.limit())
	t.tokens.SetBurstAt(now, quota.burst)
}

// untilNextToken returns the time until the rate allows the next request.
func (t *team) untilNextToken(now time.Time) time.Duration {
	missing := 1 - t.tokens.TokensAt(now)
	return time.Duration(math.Ceil(missing / t.quota.perSecond * float64(time.Second)))
}
