package appender

import (
	"github.com/rcrowley/go-metrics"

	"apricotwinch"
)

// Names of the counters of an appender and a follower.
const (
	counterAppends         = "appender.appends"
	counterRecords         = "appender.records"
	counterFailures        = "appender.append_failures"
	counterReadBacks       = "appender.read_backs"
	counterReadFailures    = "appender.read_failures"
	counterFoundByReadBack = "appender.records_found_back"
	counterAppendedAgain   = "appender.records_appended_again"
	counterExpiredUnread   = "appender.records_expired_unread"
	counterUnknown         = "appender.unknown"

	counterPolls        = "follower.polls"
	counterPollFailures = "follower.poll_failures"
	counterFollowed     = "follower.records"
	counterGaps         = "follower.gaps"
)

// countRefusal counts an Append that failed before its record was sent, by the kind of err.
func (a *Appender) countRefusal(err error) {
	name := "appender." + apricotwinch.KindOf(err).ErrorResponse().Counter()
	metrics.GetOrRegisterCounter(name, a.registry).Inc(1)
}

func (a *Appender) count(name string, n int) {
	metrics.GetOrRegisterCounter(name, a.registry).Inc(int64(n))
}
